"""The audit trail of changes."""

from mulleinreach.audit.trail import AuditEntry, AuditTrail

__all__ = ["AuditEntry", "AuditTrail"]
