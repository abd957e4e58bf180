"""Stand-ins for clients, backend servers and the platform.

They need only the standard library. The programs under review run as separate
processes; the stand-ins run in the process of the scenario.
"""
