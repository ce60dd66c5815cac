"""The store's group of entries, which also serves to find them."""

GROUP = "placer"


def member_name(address: str, lifetime: str) -> str:
    """Return the member's name of one lifetime of the entry at ``address``."""
    return f"{address}/{lifetime}"


def address_of(member: str) -> str:
    """Return the address of a member of the group."""
    return member.partition("/")[0]
