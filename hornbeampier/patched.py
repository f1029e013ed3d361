"""Makes the standard library cooperate with gevent; to be imported first."""

from gevent import monkey

monkey.patch_all()
