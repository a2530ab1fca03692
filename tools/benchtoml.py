"""Writes scenarios ("days") and deployments ("sites") of the users' bench as TOML."""


def value_text(value):
    """A TOML value on one line; supports only the types that days and sites use."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(value_text(item) for item in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {value_text(item)}" for key, item in value.items()) + " }"
    return str(value)


def site_text(site):
    """A site as TOML: its plain values and tables, then its days."""
    tables = {key: value for key, value in site.items() if isinstance(value, dict)}
    lines = [f"{key} = {value_text(value)}" for key, value in site.items()
             if key not in tables and key != "day"]
    for name, table in tables.items():
        lines += ["", f"[{name}]"]
        lines += [f"{key} = {value_text(value)}" for key, value in table.items()]
    for day in site.get("day", []):
        lines += ["", "[[day]]"]
        lines += [f"{key} = {value_text(value)}" for key, value in day.items()]
    return "\n".join(lines) + "\n"
