#include "Support/SettingsParser.h"
#include "Schema/generated/Settings.h"
#include "Support/Addresses.h"

#include <doctest/doctest.h>

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
  REQUIRE(Parsed.value().Information_);
  for (const auto &Descriptor : NodeSettings::descriptors())
    CHECK(Parsed.value().Information_->find("--" + Descriptor.Info_.Name_) !=
          std::string::npos);
}

} // namespace marigold
