"""A naive replay of records on plain dicts, to compare the fold with.

It shares the reading of single records with the fold, since that is compared with a
golden file, and nothing else: versions, ids, floors, checks between objects and homes
are written anew in the most obvious way.
"""

import json

from siskinthread.configuration._records import read_change, read_floor, RecordError
from siskinthread.configuration._schema import plain_object

KIND_OF_CLASS = {
    "Host": "hosts",
    "Service": "services",
    "Account": "accounts",
    "Placement": "placements",
}


class NaiveReplay:
    """Applies records one by one and remembers everything."""

    def __init__(self, known_format):
        self.known_format = known_format
        self.version = -1
        self.floor = 1
        self.objects = {}
        self.ids = set()
        self.homes = {}

    def apply(self, offset, at_ms, body):
        """Return the status of a record."""
        try:
            value = json.loads(body)
            if value["format"] > self.floor:
                return "format_above_floor"
            readers = {"change": read_change, "floor": read_floor}
            change = readers[value["kind"]](value)
        except (KeyError, TypeError, ValueError, RecordError):
            return "invalid"
        if change.record_id in self.ids:
            return "repeated"
        if change.expected_version != self.version:
            return "conflict"
        if value["kind"] == "floor":
            if change.format_floor != self.floor + 1:
                return "invalid"
            assert change.format_floor <= self.known_format
            self.floor += 1
        else:
            objects = self.changed(change)
            if objects is None:
                return "invalid"
            self.objects = objects
        self.version = offset
        self.ids.add(change.record_id)
        self.note_homes(offset)
        return "accepted"

    def changed(self, change):
        objects = dict(self.objects)
        for key in change.removed:
            if key not in objects:
                return None
            del objects[key]
        for item in change.put:
            kind = KIND_OF_CLASS[type(item).__name__]
            objects[kind, item.name] = plain_object(item)
        models = [m for plain in self.of(objects, "services") for m in plain["models"]]
        digests = [
            digest
            for plain in self.of(objects, "accounts")
            for digest in plain["key_digests"]
        ]
        unique = len(set(models)) == len(models) and len(set(digests)) == len(digests)
        return objects if unique else None

    def of(self, objects, kind):
        return [plain for key, plain in objects.items() if key[0] == kind]

    def note_homes(self, offset):
        """Remember every set of homes that each service ever had."""
        zones = [plain["hosts"][5:] for plain in self.of(self.objects, "placements")]
        hosts = sorted(
            plain["name"]
            for plain in self.of(self.objects, "hosts")
            if plain["labels"]["zone"] in zones
        )
        services = {plain["name"] for plain in self.of(self.objects, "services")}
        for name in services | self.homes.keys():
            homes = hosts if name in services else []
            sets = self.homes.setdefault(name, [])
            if not sets or sets[-1][1] != homes:
                sets.append((offset, homes))

    def homes_versions(self):
        services = self.of(self.objects, "services")
        return {plain["name"]: self.homes[plain["name"]][-1][0] for plain in services}
