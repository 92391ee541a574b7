"""The two users' deployments at today's size, for the demo and the failure runs."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Place:
    """An availability zone with its region."""

    zone: str
    region: str


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and how many endpoint instances stand before it."""

    name: str
    kind: str
    endpoints: int
    model: str = ""


@dataclasses.dataclass(frozen=True)
class Deployment:
    """What one user runs.

    :param entries: how many entry instances are started.
    """

    name: str
    places: tuple[Place, ...]
    services: tuple[Service, ...]
    teams: tuple[str, ...]
    intents: str
    entries: int


BAUTIZOS = Deployment(
    name="bautizos",
    places=(
        Place("heredia-a", "gran-area"),
        Place("liberia-a", "guanacaste"),
        Place("limon-a", "caribe"),
    ),
    services=(
        Service("redactor", "model", 7, "redactor"),
        Service("reservas", "plain", 3),
        Service("parroquias", "plain", 1),
    ),
    teams=("familias", "parroquias", "padrinos"),
    intents="examples/bautizos.yaml",
    entries=4,
)
ROSTERET = Deployment(
    name="rosteret",
    places=(
        Place("brest-a", "finistere"),
        Place("vannes-a", "morbihan"),
        Place("rennes-a", "ille-vilaine"),
    ),
    services=(
        Service("toucan-pool", "model", 6, "toucan"),
        Service("shift-desk", "plain", 3),
        Service("nursery-office", "plain", 1),
    ),
    teams=("directions", "equipes", "parents"),
    intents="examples/rosteret.yaml",
    entries=4,
)
ALL = (BAUTIZOS, ROSTERET)
