"""Random versions of a router's settings, usable and unusable, reproducible by seed."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from typing import Any

from magpieshift.control import sexp
from magpieshift.control.publisher import PublishedVersion


class VersionMaker:
    """Generates usable and unusable versions, each as a change of the last usable one."""

    def __init__(self, data: dict[str, Any], rand: random.Random) -> None:
        self.data = data
        self._random = rand
        self.number = 0

    def usable(self) -> PublishedVersion:
        """Return the next usable version: it changes values or load report columns, or adds or removes a
        class or a zone."""
        rand = self._random
        data = copy.deepcopy(self.data)
        classes = data["classes"]
        zones = data["zones"]
        change_kind = rand.randrange(6)
        name = f"extra{rand.randrange(5)}"
        if change_kind == 0:
            data["attempts"]["connect-timeout-ms"] = rand.randint(100, 900)
            data["limits"] = {"memory-mb": rand.randint(64, 128), "sockets": rand.randint(256, 900)}
        elif change_kind == 1 and name in classes:
            del classes[name]
        elif change_kind == 1:
            classes[name] = copy.deepcopy(classes[rand.choice(["picture", "basket"])])
        elif change_kind == 2:
            request_class = classes[rand.choice(list(classes))]
            request_class["aim-ms"] = rand.randint(200, 900)
            request_class["deadline-ms"] = rand.randint(1500, 4000)
        elif change_kind == 3:
            data["connections"] = {"idle-ms": rand.randint(2000, 20000), "streams": rand.randint(4, 64)}
        elif change_kind == 4:
            data["stores"]["report"] = rand.sample(["load_share", "concurrent", "depth", "tps"], 2)
        else:
            spare_zone = f"spare{rand.randrange(3)}"
            if spare_zone in zones:
                del zones[spare_zone]
            else:
                zones[spare_zone] = {"routers": 1}
                # Zones are numbered by their order.
                data["zones"] = dict(sorted(zones.items(), key=lambda _: rand.random()))
        data["stores"]["answer-slack-ms"] = rand.randint(1, 10_000) / 1000  # so that versions differ
        self.number += 1 if rand.random() > 0.1 else rand.randint(2, 5)  # one in ten skips numbers
        self.data = data
        return PublishedVersion.parse(self.number, sexp.format_document(data))

    def unusable(self) -> tuple[str, PublishedVersion]:
        """Return what is wrong with a version that the router must reject, and the version."""
        changes: dict[str, Callable[[dict[str, Any]], None]] = {
            "unknown entry": lambda d: d.update(colour="red"),
            "wrong type": lambda d: d["limits"].update(sockets="many"),
            "out of range": lambda d: d["limits"].update({"memory-mb": -1}),
            "entry missing": lambda d: d.pop("kinds"),
            "no such zone": lambda d: d.update(zone="moon"),
            "not a number": lambda d: d["attempts"].update({"connect-timeout-ms": float("nan")}),
            "aim above deadline": lambda d: d["classes"]["picture"].update({"aim-ms": 99_000}),
            "binds at start": lambda d: d.update(listen="127.0.0.1:9"),
            "stores are listed there": lambda d: (d["zones"].pop("shop"), d.update(zone="hub")),  # type: ignore
            "another version's number inside": lambda d: d.update(version=self.number + 7),
        }
        texts = {"bracket open": "(magpieshift (name x)", "deep": "(magpieshift " + "(a " * 3000 + ")" * 3001}
        kind = self._random.choice([*changes, *texts])
        self.number += 1
        if kind in texts:
            return kind, PublishedVersion.parse(self.number, texts[kind])
        data = copy.deepcopy(self.data)
        changes[kind](data)
        return kind, PublishedVersion.parse(self.number, sexp.format_document(data))
