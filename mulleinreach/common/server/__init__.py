"""HTTP servers that bound what their clients make a process hold."""
