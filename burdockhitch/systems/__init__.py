"""Systems: functions that read and update the tables, in phases on each tick.

A tick is one run of all systems over the tables. Importing a module registers its
systems, handlers and policies. Within a phase, systems run in the order in which
they were registered. ``owned`` and ``direct`` import those of one sending mode each, so
that a VM loads only the systems that it runs.
"""
