"""The rules file: one rule per line, with a comment that names its requester."""
