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

TEST_CASE_FIXTURE(SettingsFixture, "settings without input have defaults") {
  auto Parsed = parse({});
  REQUIRE(Parsed);
  CHECK(Parsed.value().Settings_.ProbeInterval_ == std::chrono::seconds(1));
  CHECK(Parsed.value().Settings_.Seeds_.empty());
}

TEST_CASE_FIXTURE(SettingsFixture, "settings flag wins over environment") {
  Environment_["MARIGOLD_SUBSET"] = "5";
  Environment_["MARIGOLD_THREADS"] = "3";
  auto Parsed = parse({"--subset=7", "--seeds=127.0.0.1:1,127.0.0.2:2"});
  REQUIRE(Parsed);
  CHECK(Parsed.value().Settings_.Subset_ == 7);
  CHECK(Parsed.value().Settings_.Threads_ == 3);
  REQUIRE(Parsed.value().Settings_.Seeds_.size() == 2);
  CHECK(toText(Parsed.value().Settings_.Seeds_[1]) == "127.0.0.2:2");
}

// Each row guards against a value that would otherwise be accepted silently.
TEST_CASE_FIXTURE(SettingsFixture, "settings with a wrong value are refused") {
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

TEST_CASE_FIXTURE(SettingsFixture, "settings help names every setting") {
  auto Parsed = parse({"--help"});
  REQUIRE(Parsed);
  REQUIRE(Parsed.value().HelpOrVersion_);
  for (const auto &Descriptor : NodeSettings::descriptors())
    CHECK(Parsed.value().HelpOrVersion_->find("--" + Descriptor.Info_.Name_) !=
          std::string::npos);
}

// Guards against a settings file that wins over what an operator gives by hand.
TEST_CASE_FIXTURE(SettingsFixture,
                  "settings file comes before defaults and behind the rest") {
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

TEST_CASE("duration with a fraction is read in milliseconds") {
  CHECK(parseDuration("0.25s").value() == std::chrono::milliseconds(250));
  CHECK(parseDuration("1.5m").value() == std::chrono::seconds(90));
  CHECK_FALSE(parseDuration("1.s"));
  CHECK_FALSE(parseDuration(".5s"));
  CHECK_FALSE(parseDuration("1.5.5s"));
}

} // namespace marigold
