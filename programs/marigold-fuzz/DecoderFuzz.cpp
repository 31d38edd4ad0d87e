#include "DecoderFuzz.h"

#include "RandomInput.h"
#include "Schema/generated/Messages.h"
#include "Support/Archive.h"
#include "Support/Digest.h"

#include <algorithm>
#include <cstdio>
#include <tuple>

namespace marigold::fuzz {
namespace {

template <class Message> Message randomMessage(Random &Rng) {
  for (;;) {
    try {
      Message Filled;
      RandomInput Ar(Rng);
      Ar(Filled);
      return Filled;
    } catch (const cereal::Exception &) {
      // An enumeration value was out of range; draw a new message.
    }
  }
}

std::string mutate(std::string Bytes, Random &Rng) {
  for (std::uint64_t Changes = 1 + Rng.below(4); Changes > 0; --Changes) {
    std::size_t At = Rng.below(Bytes.size() + 1);
    std::size_t Length = Rng.below(Bytes.size() - At + 1);
    switch (Rng.below(5)) {
    case 0:
      if (At < Bytes.size())
        Bytes[At] = static_cast<char>(Rng.next());
      break;
    case 1:
      Bytes.resize(At);
      break;
    case 2:
      Bytes.insert(At, 1 + Rng.below(8), static_cast<char>(Rng.next()));
      break;
    case 3:
      Bytes.insert(At, Bytes.substr(At, Length));
      break;
    default:
      // Bytes of 0xff produce very large sizes and numbers.
      Bytes.replace(At, std::min<std::size_t>(Length, 10),
                    std::string(Rng.below(11), '\xff'));
      break;
    }
  }
  return Bytes;
}

// Decodes one input. Returns a description of the failure, or null if the
// decoder behaves correctly.
template <class Message> const char *decode(const std::string &Bytes) {
  Result<Message> Decoded = decodeBody<Message>(Bytes);
  if (!Decoded)
    return Decoded.error().Code_ == ErrorCode::MessageMalformed
               ? nullptr
               : "refused with an error other than MessageMalformed";
  // Compare encodings instead of values, since NaN does not equal itself.
  std::string Reencoded = encodeBody(Decoded.value());
  Result<Message> DecodedAgain = decodeBody<Message>(Reencoded);
  if (!DecodedAgain || encodeBody(DecodedAgain.value()) != Reencoded)
    return "accepted, but changed by encoding and decoding it again";
  return nullptr;
}

template <class Message>
std::size_t fuzzMessageType(std::uint64_t Seed, std::uint64_t Runs) {
  constexpr auto Type =
      static_cast<std::uint8_t>(MessageTypeOf<Message>::Value_);
  std::size_t Failures = 0;
  std::size_t Accepted = 0;
  for (std::uint64_t Run = 0; Run < Runs; ++Run) {
    Random Rng(mixHash(Seed + Run, Type));
    std::string Valid = encodeBody(randomMessage<Message>(Rng));
    std::string Malformed = mutate(Valid, Rng);
    const char *Error = decode<Message>(Malformed);
    if (!Error && !decodeBody<Message>(Valid))
      Error = "valid message refused";
    Accepted += bool(decodeBody<Message>(Malformed));
    if (!Error)
      continue;
    ++Failures;
    unsigned long long FailedSeed = Seed + Run;
    std::printf("fuzz=decode message=%s seed=%llu failure=\"%s\"\n",
                std::string(messageName(Type)).c_str(), FailedSeed, Error);
  }
  std::printf("fuzz=decode message=%s runs=%llu accepted=%zu failures=%zu\n",
              std::string(messageName(Type)).c_str(),
              static_cast<unsigned long long>(Runs), Accepted, Failures);
  return Failures;
}

template <class... Messages>
std::size_t fuzzAll(std::uint64_t Seed, std::uint64_t Runs,
                    const std::tuple<Messages...> *) {
  return (fuzzMessageType<Messages>(Seed, Runs) + ...);
}

} // namespace

std::size_t fuzzDecoders(std::uint64_t Seed, std::uint64_t Runs) {
  return fuzzAll(Seed, Runs, static_cast<const AllMessages *>(nullptr));
}

} // namespace marigold::fuzz
