#include "TextFuzz.h"

#include "Config/Snapshot.h"
#include "Config/TextParser.h"
#include "Node/SourceClient.h"
#include "Support/Digest.h"
#include "Support/Random.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

namespace marigold::fuzz {
namespace {

const std::string HostListText =
    R"([{"Node":"a","Address":"10.0.0.1","Meta":{"service":"desk",)"
    R"("failure_domain":"quito","region":"andes","peer_port":"7400",)"
    R"("caller_port":"7480","admin_port":"7490"}},)"
    R"({"Node":"b","Address":"10.0.0.2","Meta":{"service":"desk",)"
    R"("failure_domain":"quito","region":"andes","peer_port":"7400",)"
    R"("caller_port":"7480","admin_port":"7490"}}])";

const std::string ConfigText = "epoch: 1\n"
                               "mesh: test\n"
                               "services:\n"
                               "  desk:\n"
                               "    slots: 4\n"
                               "    depends_on: [shelf]\n"
                               "    routes:\n"
                               "      - path: /\n"
                               "        methods: [GET]\n"
                               "  shelf:\n"
                               "    slots: 2\n";

/// Returns a piece of text that is valid in few places.
std::string oddPiece(Random &Rng) {
  static const std::array<std::string, 14> Pieces{
      "[",        "{",
      "}",        "]",
      "\"",       "1e999",
      "-1",       "\xff",
      "\xc0\x80", "null",
      "&a *a",    "65536",
      ": ",       "18446744073709551616"};
  if (Rng.below(16) != 0)
    return Pieces[Rng.below(Pieces.size())];
  constexpr std::uint64_t MaxDepth = 100'000;
  return std::string(1 + Rng.below(MaxDepth), Rng.below(2) == 0 ? '[' : '{');
}

std::string changed(std::string Text, Random &Rng) {
  constexpr std::size_t MaxCut = 12;
  for (std::uint64_t Changes = 1 + Rng.below(4); Changes > 0; --Changes) {
    std::size_t At = Rng.below(Text.size() + 1);
    std::size_t Cut =
        Rng.below(std::min<std::size_t>(Text.size() - At, MaxCut) + 1);
    Text.replace(At, Cut, oddPiece(Rng));
  }
  return Text;
}

/// Parses one text. Returns a description of the failure, or null if the parser
/// behaved correctly. Accepted tells whether it accepted the text.
using Parse = const char *(*)(const std::string &Text, bool &Accepted);

const char *parseHosts(const std::string &Text, bool &Accepted) {
  auto List = node::parseHostList(Text, TimePoint());
  Accepted = List.has_value();
  if (!List)
    return List.error().Code_ == ErrorCode::SourceMalformed
               ? nullptr
               : "refused with an error other than SourceMalformed";
  for (const auto &Host : List.value().Hosts_)
    if (Host.Record_.Id_.Port_ == 0 || Host.Record_.CallerPort_ == 0)
      return "accepted a host without a port";
  return nullptr;
}

const char *parseConfig(const std::string &Text, bool &Accepted) {
  auto Model = config::parseText(Text, "fuzz");
  Accepted = Model.has_value();
  if (!Model)
    return Model.error().empty() ? "refused without a reason" : nullptr;
  auto Built = config::buildSnapshot(std::move(Model.value()), {1, 1});
  return config::validateSnapshot(*Built) ? nullptr
                                          : "accepted an invalid text";
}

std::size_t fuzzText(const char *Kind, const std::string &Valid, Parse Run,
                     std::uint64_t Seed, std::uint64_t Runs) {
  std::size_t Failures = 0;
  std::size_t AcceptedCount = 0;
  for (std::uint64_t Number = 0; Number < Runs; ++Number) {
    Random Rng(mixHash(Seed + Number, Valid.size()));
    bool Accepted = false;
    const char *Error = Run(changed(Valid, Rng), Accepted);
    AcceptedCount += Accepted ? 1 : 0;
    if (!Error)
      continue;
    ++Failures;
    unsigned long long FailedSeed = Seed + Number;
    std::printf("fuzz=text kind=%s seed=%llu failure=\"%s\"\n", Kind,
                FailedSeed, Error);
  }
  bool ValidAccepted = false;
  if (Run(Valid, ValidAccepted) || !ValidAccepted) {
    ++Failures;
    std::printf("fuzz=text kind=%s failure=\"valid text refused\"\n", Kind);
  }
  std::printf("fuzz=text kind=%s runs=%llu accepted=%zu failures=%zu\n", Kind,
              static_cast<unsigned long long>(Runs), AcceptedCount, Failures);
  return Failures;
}

} // namespace

std::size_t fuzzTexts(std::uint64_t Seed, std::uint64_t Runs) {
  return fuzzText("host-list", HostListText, parseHosts, Seed, Runs) +
         fuzzText("config", ConfigText, parseConfig, Seed, Runs);
}

} // namespace marigold::fuzz
