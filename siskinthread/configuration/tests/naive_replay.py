"""A naive replay of records on plain dicts, as a reference for the fold.

It shares only the parsing of single records with the fold, because the parsing is
compared with a golden file.  Versions, ids, floors, checks between objects and homes
are reimplemented in the simplest way.
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
    """Applies records one by one and drops no history."""

    def __init__(self, known_format):
        self.known_format = known_format
        self.version = -1
        self.floor = 1
        self.objects = {}
        self.ids = set()
        self.homes = {}

    def apply(self, offset, at_ms, body):
        """Apply a record and return its status."""
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
        self.record_homes(offset)
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
        models = [
            m
            for plain in self.objects_of_kind(objects, "services")
            for m in plain["models"]
        ]
        digests = [
            digest
            for plain in self.objects_of_kind(objects, "accounts")
            for digest in plain["key_digests"]
        ]
        unique = len(set(models)) == len(models) and len(set(digests)) == len(digests)
        return objects if unique else None

    def objects_of_kind(self, objects, kind):
        return [plain for key, plain in objects.items() if key[0] == kind]

    def record_homes(self, offset):
        """Record every change of the set of homes of each service."""
        zones = [
            plain["hosts"][5:]
            for plain in self.objects_of_kind(self.objects, "placements")
        ]
        hosts = sorted(
            plain["name"]
            for plain in self.objects_of_kind(self.objects, "hosts")
            if plain["labels"]["zone"] in zones
        )
        services = {
            plain["name"] for plain in self.objects_of_kind(self.objects, "services")
        }
        for name in services | self.homes.keys():
            homes = hosts if name in services else []
            sets = self.homes.setdefault(name, [])
            if not sets or sets[-1][1] != homes:
                sets.append((offset, homes))

    def homes_versions(self):
        services = self.objects_of_kind(self.objects, "services")
        return {plain["name"]: self.homes[plain["name"]][-1][0] for plain in services}
