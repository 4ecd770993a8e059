"""The operator's configuration for the cases."""

HOST = 'ficu95.example'
KEY = 'asnmgkcuyj8pjbvk9m68'
MODEL_HEADERS = {
    'Dandelionplank-Model': 'm',
    'Dandelionplank-Token-Usage': '300,20',
    'Dandelionplank-Prefix-Hash': '5c1e07a2:200,e4402b7d:100',
}


def route(name, prefix, kind, service, **extra):
    """Return one route."""
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': prefix,
        'Kind': kind,
        'Service': service,
        'TimeoutMs': 4000,
        'GoalMs': 400,
        'Attempts': 1,
        'Priority': 2,
        **extra,
    }


def configuration(version, routes, tenants=None, **limits):
    """Return a configuration in full.

    :param tenants: keys of each tenant by its name
    """
    tenants = {'hule930': [KEY]} if tenants is None else tenants
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': 'llm', 'Engine': {'Slots': 64, 'KvTokens': 500_000}},
            {'Name': 'app'},
        ],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 4_194_304,
            'HeaderTimeoutMs': 10_000,
            'IdleTimeoutMs': 30_000,
            **limits,
        },
        'Tenants': [
            {'Name': name, 'ApiKeys': list(keys)}
            for name, keys in tenants.items()
        ],
    }
