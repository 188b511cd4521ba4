"""Stand-in for the platform's limit of memory."""

import asyncio

from .fleet import MEMORY_MB

RESTART_DELAY_S = 0.5


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, record, fleet):
        self.record = record
        self.fleet = fleet
        self.n_kills = 0
        self.peak_mb = 0.0

    async def watch(self):
        """Check the memory of all processes, until cancelled."""
        while True:
            for vm in self.fleet.vms:
                used_mb = vm.memory_mb()
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > MEMORY_MB:
                    vm.kill()
                    self.n_kills += 1
                    self.record.note(f"{vm.name} used {used_mb:.0f} MB and is killed")
                    asyncio.get_running_loop().call_later(RESTART_DELAY_S, vm.start)
            await asyncio.sleep(0.02)
