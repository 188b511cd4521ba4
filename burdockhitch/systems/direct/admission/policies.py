"""Selects the admission policy, which applies when a service lacks capacity."""

from burdockhitch.world import World

# Value of the setting that selects a policy by the configuration.
AUTO = "auto"
BY_WAIT = "by_wait"
LEAST_LOSS = "least_loss"


def admission_name(world: World) -> str:
    """Return the name of the admission policy in force."""
    name = world.settings.policies.admission
    if name != AUTO:
        return name
    has_accounts = any(document.has_accounts for document in world.configurations)
    return LEAST_LOSS if has_accounts else BY_WAIT


def excludes_suspects(world: World) -> bool:
    """Return whether suspect servers get no requests but explorations.

    Where callers' time is short, a suspect server that answers a part of its requests
    serves more of them than a refusal, so only the policy that holds and refuses by
    value excludes them.
    """
    return admission_name(world) == LEAST_LOSS
