"""The rules file: one rule a line, with a comment saying who asked for it."""
