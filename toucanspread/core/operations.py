"""Ids of operations whose results may be lost."""

from toucanspread.core import data, machine


def new_id(node: machine.Node, purpose: str) -> data.OperationId:
    """Return an operation id that is unique across processes and calls."""
    number = node.random.getrandbits(64)
    identity = node.identity
    return data.OperationId(
        f"{purpose}/{identity.instance_id}/{identity.incarnation}/{number:016x}"
    )
