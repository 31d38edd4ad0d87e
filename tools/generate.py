#!/usr/bin/python3
"""Generates src/Schema/generated/ and docs/reference/ from schema/*.yaml.

Without arguments it writes the files; with --check it fails when the existing
files differ from the generated ones. Requires python3-jinja2 and python3-yaml.
"""

import argparse
import pathlib
import subprocess
import sys

import jinja2
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEMPLATES = ROOT / "tools" / "templates"

# Template file -> output file.
OUTPUTS = {
    "Errors.h.j2": "src/Schema/generated/Errors.h",
    "Errors.cpp.j2": "src/Schema/generated/Errors.cpp",
    "Messages.h.j2": "src/Schema/generated/Messages.h",
    "Messages.cpp.j2": "src/Schema/generated/Messages.cpp",
    "Settings.h.j2": "src/Schema/generated/Settings.h",
    "Settings.cpp.j2": "src/Schema/generated/Settings.cpp",
    "Metrics.h.j2": "src/Schema/generated/Metrics.h",
    "Metrics.cpp.j2": "src/Schema/generated/Metrics.cpp",
    "errors.md.j2": "docs/reference/errors.md",
    "messages.md.j2": "docs/reference/peer-protocol.md",
    "settings.md.j2": "docs/reference/settings.md",
    "metrics.md.j2": "docs/reference/metrics.md",
}

MESSAGE_TYPES = {
    "u8": "std::uint8_t",
    "u16": "std::uint16_t",
    "u32": "std::uint32_t",
    "u64": "std::uint64_t",
    "i64": "std::int64_t",
    "bool": "bool",
    "f64": "double",
    "string": "std::string",
    "bytes": "std::string",
    "ms": "std::chrono::milliseconds",
    "us": "std::chrono::microseconds",
}

SETTING_TYPES = {
    "string": "std::string",
    "address": "Address",
    "addresses": "std::vector<Address>",
    "port": "std::uint16_t",
    "count": "std::uint64_t",
    "duration": "std::chrono::milliseconds",
    "ratio": "double",
    "decimal": "double",
    "choice": "std::string",
    "flag": "bool",
}

DURATION_UNITS = {"ms": 1, "s": 1000, "m": 60000, "h": 3600000}


def camel(name):
    """Converts a-name or a_name to AName."""
    return "".join(part.capitalize() for part in name.replace("_", "-").split("-"))


def milliseconds(text):
    """Converts a duration such as 30s to milliseconds."""
    for unit in ("ms", "s", "m", "h"):
        number = text[: -len(unit)]
        if text.endswith(unit) and number.isdigit():
            return int(number) * DURATION_UNITS[unit]
    raise ValueError(f"invalid duration: {text}")


def message_type(name):
    """Returns the C++ type of a message field."""
    if name.startswith("list<"):
        return f"std::vector<{message_type(name[5:-1])}>"
    return MESSAGE_TYPES.get(name, name)


def setting_limit(setting, which):
    """Returns the lower or upper limit of a setting as a number.

    Limits of durations are in milliseconds.
    """
    value = setting.get(which)
    if value is None:
        return 0 if which == "min" else 2**64 - 1
    return milliseconds(value) if setting["type"] == "duration" else int(value)


def wrap(text, indent=""):
    """Formats text as a doc comment wrapped to 80 columns."""
    lines, line = [], ""
    for word in text.split():
        if line and len(indent) + 4 + len(line) + 1 + len(word) > 80:
            lines.append(line)
            line = ""
        line = f"{line} {word}" if line else word
    lines.append(line)
    return "\n".join(f"{indent}/// {line}" for line in lines)


def render():
    """Returns the contents of each output file, keyed by path."""
    env = jinja2.Environment(
        loader=jinja2.FileSystemLoader(str(TEMPLATES)),
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        undefined=jinja2.StrictUndefined,
    )
    env.filters.update(camel=camel, doc=wrap)
    env.globals.update(
        message_type=message_type,
        setting_type=SETTING_TYPES.get,
        setting_limit=setting_limit,
    )
    data = {}
    for name in ("errors", "messages", "settings", "metrics"):
        data.update(yaml.safe_load((ROOT / "schema" / f"{name}.yaml").read_text()))
    texts = {}
    for template, output in OUTPUTS.items():
        text = env.get_template(template).render(**data)
        if output.endswith((".h", ".cpp")):
            text = subprocess.run(
                ["clang-format", f"--assume-filename={ROOT / output}"],
                input=text, capture_output=True, text=True, check=True).stdout
        texts[ROOT / output] = text
    return texts


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true",
                        help="fail when the existing files are out of date")
    check = parser.parse_args().check
    stale = []
    for path, text in render().items():
        if path.exists() and path.read_text() == text:
            continue
        stale.append(str(path.relative_to(ROOT)))
        if not check:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
    if check and stale:
        sys.exit("generated files are out of date, run tools/generate.py: "
                 + ", ".join(stale))


if __name__ == "__main__":
    main()
