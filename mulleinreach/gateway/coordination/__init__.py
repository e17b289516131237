"""Election of the coordinator, and the reports between it and the other nodes."""
