"""The two users' deployments at today's size, for the demo and the failure runs."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Location:
    """An availability zone with its region."""

    zone: str
    region: str


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and how many endpoint instances stand before it."""

    name: str
    kind: str
    endpoint_count: int
    model: str = ""


@dataclasses.dataclass(frozen=True)
class Deployment:
    """What one user runs.

    :param entries: how many entry instances are started.
    """

    name: str
    locations: tuple[Location, ...]
    services: tuple[Service, ...]
    teams: tuple[str, ...]
    intents: str
    entry_count: int


BAUTIZOS = Deployment(
    name="bautizos",
    locations=(
        Location("heredia-a", "gran-area"),
        Location("liberia-a", "guanacaste"),
        Location("limon-a", "caribe"),
    ),
    services=(
        Service("redactor", "model", 7, "redactor"),
        Service("reservas", "plain", 3),
        Service("parroquias", "plain", 1),
    ),
    teams=("familias", "parroquias", "padrinos"),
    intents="examples/bautizos.yaml",
    entry_count=4,
)
ROSTERET = Deployment(
    name="rosteret",
    locations=(
        Location("brest-a", "finistere"),
        Location("vannes-a", "morbihan"),
        Location("rennes-a", "ille-vilaine"),
    ),
    services=(
        Service("toucan-pool", "model", 6, "toucan"),
        Service("shift-desk", "plain", 3),
        Service("nursery-office", "plain", 1),
    ),
    teams=("directions", "equipes", "parents"),
    intents="examples/rosteret.yaml",
    entry_count=4,
)
ALL_DEPLOYMENTS = (BAUTIZOS, ROSTERET)
