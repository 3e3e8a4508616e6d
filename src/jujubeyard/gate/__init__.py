"""The gate process: the only sender of calls to the targets it holds."""
