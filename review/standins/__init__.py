"""Stand-ins of the platform for the cases of the review, written from the users' pages."""
