"""Operation ids: names for calls whose answers may be lost."""

from toucanspread.core import data, machine


def new_id(node: machine.Node, purpose: str) -> data.OperationId:
    """Return an id that no other process and no earlier call has used."""
    number = node.random.getrandbits(64)
    identity = node.identity
    return data.OperationId(
        f"{purpose}/{identity.instance_id}/{identity.incarnation}/{number:016x}"
    )
