"""Releases of a new software version to the engines of a soak."""

import gevent

from tests import nodes

# Time between the replacements of two engines.
REPLACE_GAP_S = 0.4


class Releases:
    """Replaces engines by those of a new version; a part of `World`."""

    def _release(self, event):
        """Replaces half of the engines, one after the other."""
        del event
        version = self._next_version()
        engines = self._serving_engines()
        replacements = []
        for engine in engines[: (len(engines) + 1) // 2]:
            replacements.append(gevent.spawn(self._replace, engine, version))
            gevent.sleep(REPLACE_GAP_S)
        gevent.joinall(replacements, raise_error=True)

    def _next_version(self):
        self._engine_version += 1
        return f"v{self._engine_version}"

    def serves_twice(self, versions):
        """Whether two engines serve that run one of these versions.

        It is not told while the path of streams moves, as streams of the
        service that it has left are to be refused.
        """
        if self.has_routes:
            return False
        serving = [
            engine
            for engine in self._serving_engines()
            if engine.version.encode() in versions
        ]
        return len(serving) > 1

    def _serving_engines(self):
        return [
            endpoint
            for endpoint in self._endpoints
            if endpoint.service == nodes.ENGINE_SERVICE
            and not endpoint.is_changing
        ]
