"""Schedules calls over targets by work, room and deadlines."""
