#include "Support/SettingsParser.h"
#include "Schema/generated/Settings.h"
#include "Support/Addresses.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

namespace marigold {
namespace {

struct SettingsFixture {
  std::map<std::string, std::string> Environment_;

  Result<ParsedCommandLine<NodeSettings>>
  parse(std::vector<const char *> Arguments) {
    Arguments.insert(Arguments.begin(), "marigold-node");
    Arguments.push_back(nullptr);
    return parseSettings<NodeSettings>(
        static_cast<int>(Arguments.size()) - 1, Arguments.data(), "",
        [this](const std::string &Name) -> std::optional<std::string> {
          auto Position = Environment_.find(Name);
          if (Position == Environment_.end())
            return std::nullopt;
          return Position->second;
        });
  }
};

} // namespace

TEST_CASE_FIXTURE(SettingsFixture,
                  "settings have their defaults without input") {
  auto Parsed = parse({});
  REQUIRE(Parsed);
  CHECK(Parsed.value().Settings_.ProbeInterval_ == std::chrono::seconds(1));
  CHECK(Parsed.value().Settings_.Seeds_.empty());
}

TEST_CASE_FIXTURE(SettingsFixture, "settings flag overrides the environment") {
  Environment_["MARIGOLD_SUBSET"] = "5";
  Environment_["MARIGOLD_THREADS"] = "3";
  auto Parsed = parse({"--subset=7", "--seeds=127.0.0.1:1,127.0.0.2:2"});
  REQUIRE(Parsed);
  CHECK(Parsed.value().Settings_.Subset_ == 7);
  CHECK(Parsed.value().Settings_.Threads_ == 3);
  REQUIRE(Parsed.value().Settings_.Seeds_.size() == 2);
  CHECK(toText(Parsed.value().Settings_.Seeds_[1]) == "127.0.0.2:2");
}

// Each argument guards against silently accepting an invalid value.
TEST_CASE_FIXTURE(SettingsFixture, "settings reject invalid values") {
  for (const char *Argument :
       {"--subset=0", "--subset=x", "--probe-interval=5", "--strategy=best",
        "--peer-address=1.2.3:4", "--peer-address=1.2.3.400:4",
        "--retry-ratio=1.5", "--retry-ratio=nan", "--caller-port=70000",
        "--adaptive-limit=maybe", "--no-such-flag"}) {
    CAPTURE(Argument);
    auto Parsed = parse({Argument});
    REQUIRE_FALSE(Parsed);
    CHECK(Parsed.error().Code_ == ErrorCode::SettingInvalid);
  }
}

TEST_CASE_FIXTURE(SettingsFixture, "settings help lists every setting") {
  auto Parsed = parse({"--help"});
  REQUIRE(Parsed);
  REQUIRE(Parsed.value().HelpOrVersion_);
  for (const auto &Descriptor : NodeSettings::descriptors())
    CHECK(Parsed.value().HelpOrVersion_->find("--" + Descriptor.Info_.Name_) !=
          std::string::npos);
}

// Guards against a settings file that overrides flags or environment variables
// set by an operator.
TEST_CASE_FIXTURE(SettingsFixture,
                  "settings file overrides only the defaults") {
  std::string Path = std::tmpnam(nullptr);
  std::ofstream(Path) << "# a comment\n\n threads = 5\nsubset=9\n"
                         "stop-grace = 2.5s\n";
  Environment_["MARIGOLD_SUBSET"] = "3";
  std::string Flag = "--settings-file=" + Path;
  auto Parsed = parse({Flag.c_str()});
  REQUIRE(Parsed);
  CHECK(Parsed.value().Settings_.Threads_ == 5);
  CHECK(Parsed.value().Settings_.Subset_ == 3);
  CHECK(Parsed.value().Settings_.StopGrace_ == std::chrono::milliseconds(2500));
  std::ofstream(Path) << "treads = 5\n";
  auto Misspelt = parse({Flag.c_str()});
  REQUIRE_FALSE(Misspelt);
  CHECK(Misspelt.error().Detail_.find("treads") != std::string::npos);
  std::remove(Path.c_str());
  CHECK_FALSE(parse({Flag.c_str()}));
}

TEST_CASE("duration with a fraction is converted to milliseconds") {
  CHECK(parseDuration("0.25s").value() == std::chrono::milliseconds(250));
  CHECK(parseDuration("1.5m").value() == std::chrono::seconds(90));
  CHECK_FALSE(parseDuration("1.s"));
  CHECK_FALSE(parseDuration(".5s"));
  CHECK_FALSE(parseDuration("1.5.5s"));
}

// Guards against a schema in which YAML reads the choice "off" as a flag: the
// generated name was "False", and operators could not turn the part off.
TEST_CASE_FIXTURE(SettingsFixture, "settings accept the choice off by name") {
  for (const char *Argument : {"--placement=off", "--overload-admission=off"}) {
    CAPTURE(Argument);
    CHECK(parse({Argument}));
  }
  CHECK(parse({"--placement=off"}).value().Settings_.Placement_ == "off");
}

} // namespace marigold
