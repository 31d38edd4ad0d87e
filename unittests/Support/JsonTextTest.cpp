#include "Support/JsonText.h"

#include <doctest/doctest.h>

#include <string>

namespace marigold {

// Guards against a process that exhausts its memory or stack on a short text.
TEST_CASE("json text nested too deeply is refused") {
  auto Nested = [](std::size_t Depth) {
    return std::string(Depth, '[') + std::string(Depth, ']');
  };
  JsonLimits Limits;
  Limits.Depth_ = 4;
  CHECK(parseJson(Nested(4), Limits));
  CHECK_FALSE(parseJson(Nested(5), Limits));
  CHECK_FALSE(parseJson(Nested(1'000'000), Limits));
  CHECK_FALSE(parseJson(std::string(1'000'000, '['), Limits));
  std::string Objects;
  for (int Level = 0; Level < 100'000; ++Level)
    Objects += R"({"a":)";
  CHECK_FALSE(parseJson(Objects, Limits));
  // Brackets in strings do not nest.
  CHECK(parseJson(R"(["[[[[[[{{{{\"[[[[[[", "\\"])", Limits));
}

TEST_CASE("json text beyond its size is refused") {
  JsonLimits Limits;
  Limits.Bytes_ = 10;
  CHECK(parseJson("[1,2,3,45]", Limits));
  CHECK_FALSE(parseJson("[1,2,3,456]", Limits));
}

TEST_CASE("json text that is not valid is refused") {
  for (const char *Text : {"", "[", "{\"a\":1e999}", "nan", "[1,]", "\"\xff\"",
                           "{\"\xc0\":1}", "\"\\ud800\"", "[1] [2]"}) {
    CAPTURE(Text);
    CHECK_FALSE(parseJson(Text));
  }
}

// Guards against two readers of one text that use different values.
TEST_CASE("json text with a repeated name is refused where names are unique") {
  JsonLimits Limits;
  Limits.UniqueNames_ = true;
  CHECK(parseJson(R"({"a":{"b":1},"b":{"a":{"b":2}},"c":[{"a":1},{"a":2}]})",
                  Limits));
  CHECK_FALSE(parseJson(R"({"a":1,"b":2,"a":1})", Limits));
  CHECK_FALSE(parseJson(R"([{"a":{"b":1,"b":2}}])", Limits));
  CHECK(parseJson(R"({"a":1,"a":2})"));
}

} // namespace marigold
