"""The settings of a node as the platform gives them, in the words of the wire page, for the site almaty-main."""


def almaty(cores=6, memory_kb=18600.0):
    """The classes, limits and rules of almaty-main: the values that its example of the settings shows."""
    return {
        "areas": ["alm-1", "alm-2", "alm-3"],
        "classes": [
            {"name": "history", "aim": 3800.0, "effect": "retryable", "hard-limit": 9400.0, "late-worth": 0.0,
             "repeat-window": 5000.0, "worth": 1.0},
            {"name": "plate-check", "aim": 1500.0, "effect": "retryable", "hard-limit": 5700.0, "late-worth": 0.2,
             "repeat-window": 5000.0, "worth": 2.0},
            {"name": "pay-session", "aim": 2300.0, "effect": "dedup", "hard-limit": 5700.0, "late-worth": 0.0,
             "repeat-window": 16989.0, "worth": 3.0},
        ],
        "clients": {"marks-retry": True},
        "counted-by": "work",
        "family": "server",
        "family-info": {
            "below": "tier", "blowup": 8.0, "calls-by-class": [True, False, True], "calls-out": 0.0, "cpus": cores,
            "deep-checks": False, "degraded-worth": [0.3, 0.0, 0.0], "fresh": 0.0,
            "gauges": ["core_use", "on_cores", "heap_share", "links"], "halt": "pause", "heeded": 1000.0,
            "idle": 30000.0, "just-started": False, "key-kb": 48.55, "linger": 200.0, "memory-kb": memory_kb,
            "passes-deadline": False, "readiness": True, "say": "level", "senders": 3, "share-span": 5000.0,
            "tells-gone": True,
        },
        "layer": 0,
        "limits": {"cpu-us-per-request": 0.0, "cpu-us-per-s": 60000, "max-retry-after": 1000.0, "retry-after": True},
        "my-number": 0,
        "over-share-worth": 0.05,
        "report": {"columns": ["waiting", "avg_ms"], "source": "on_probe"},
        "rules": {"answer-slack": 80.0, "cold": 18000.0, "cold-from": 0.22, "drain-grace": 2500.0, "fall": 3000.0,
                  "fall-multiple": 5.0},
        "servers": 3,
        "tenants": [
            {"name": "almaty", "portion": 0.4, "quota-rps": 72.0},
            {"name": "astana", "portion": 0.36, "quota-rps": 65.0},
            {"name": "shymkent", "portion": 0.24, "quota-rps": 43.0},
        ],
        "tick": 5.0,
        "tiers": ["pay-api", "session-core"],
        "zone": 0,
    }


def config(name, listen, processor, control, records=None, settings=None, **more):
    """A node's file, as the deployment page has it."""
    whole = {
        "name": name,
        "listen": "127.0.0.1:%d" % listen,
        "processor": "127.0.0.1:%d" % processor,
        "control": "127.0.0.1:%d" % control,
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings or almaty(),
    }
    if records is not None:
        whole["records"] = "127.0.0.1:%d" % records
    whole.update(more)
    return whole
