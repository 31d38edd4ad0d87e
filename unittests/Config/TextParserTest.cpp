#include "Config/TextParser.h"
#include "Config/Limits.h"
#include "Config/TextTree.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace marigold::config {
namespace {

struct ParserFixture {
  /// Returns a text with one service that consists of the given lines, each
  /// indented by four spaces.
  static std::string withService(const std::string &Lines) {
    return "epoch: 1\nmesh: m\nservices:\n  a:\n" + Lines;
  }

  /// Returns a text in which each service depends on the next one.
  static std::string chain(std::size_t Length) {
    std::string Text = "epoch: 1\nmesh: m\nservices:\n";
    for (std::size_t Index = 0; Index < Length; ++Index) {
      Text += "  s" + std::to_string(Index) + ":";
      if (Index + 1 < Length)
        Text += " {depends_on: [s" + std::to_string(Index + 1) + "]}";
      Text += "\n";
    }
    return Text;
  }

  static std::string services(std::size_t Count) {
    std::string Text = "epoch: 1\nmesh: m\nservices:\n";
    for (std::size_t Index = 0; Index < Count; ++Index)
      Text += "  s" + std::to_string(Index) + ":\n";
    return Text;
  }

  static std::string routes(std::size_t Count) {
    std::string Text = withService("    routes:\n");
    for (std::size_t Index = 0; Index < Count; ++Index)
      Text += "    - path: /p" + std::to_string(Index) + "\n";
    return Text;
  }

  static std::string readFile(const std::string &Name) {
    std::ifstream Input(std::string(MARIGOLD_SOURCE_DIR) + "/" + Name);
    std::stringstream Text;
    Text << Input.rdbuf();
    return Text.str();
  }

  /// Checks the code and line of the first error, and that parsing the text a
  /// second time gives the same errors.
  static void checkRefused(const std::string &Text, ErrorCode Code,
                           unsigned Line) {
    CAPTURE(Text.substr(0, 200));
    auto Parsed = parseText(Text, "f");
    REQUIRE_FALSE(Parsed);
    REQUIRE_FALSE(Parsed.error().empty());
    INFO(toText(Parsed.error().front()));
    CHECK(errorText(Parsed.error().front().Code_) == errorText(Code));
    CHECK(Parsed.error().front().Line_ == Line);
    CHECK_FALSE(Parsed.error().front().Fix_.empty());
    auto Again = parseText(Text, "f");
    REQUIRE_FALSE(Again);
    CHECK(Again.error() == Parsed.error());
  }
};

struct BadText {
  std::string Text_;
  ErrorCode Code_;
  unsigned Line_;
};

} // namespace

// Guards against example files that the validator refuses.
TEST_CASE_FIXTURE(ParserFixture, "example texts are accepted") {
  for (const char *Name :
       {"examples/zinc-andes.yaml", "examples/museums.yaml"}) {
    CAPTURE(Name);
    auto Parsed = parseText(readFile(Name), Name);
    if (!Parsed)
      FAIL(toText(Parsed.error().front()));
    CHECK(Parsed.value().Services_.size() == 3);
    // A booking marked as repeatable could be executed twice.
    for (const ServiceConfig &Service : Parsed.value().Services_)
      for (const RouteConfig &Route : Service.Routes_)
        CHECK((Route.Priority_ != Priority::Critical || !Route.Repeatable_));
  }
}

// Guards against operator documentation whose example is refused or that does
// not list every error code.
TEST_CASE_FIXTURE(ParserFixture, "operators' page is up to date") {
  std::string Page = readFile("docs/configuration.md");
  std::size_t Begin = Page.find("```yaml\n");
  REQUIRE(Begin != std::string::npos);
  Begin += std::string_view("```yaml\n").size();
  auto Parsed =
      parseText(Page.substr(Begin, Page.find("```", Begin) - Begin), "page");
  if (!Parsed)
    FAIL(toText(Parsed.error().front()));
  for (std::uint16_t Number = 200; Number < 300; ++Number)
    if (auto Code = errorFromNumber(Number)) {
      CAPTURE(errorText(*Code));
      CHECK(Page.find("| `" + std::string(errorText(*Code)) + "` |") !=
            std::string::npos);
    }
}

// Guards against unintended changes of defaults. If routes were repeatable by
// default, bookings could be executed twice.
TEST_CASE_FIXTURE(ParserFixture, "service without keys has the defaults") {
  auto Parsed = parseText(withService(""), "f");
  REQUIRE(Parsed);
  CHECK(Parsed.value().Services_.front() == defaultService("a"));
  CHECK_FALSE(defaultRoute().Repeatable_);
  Parsed = parseText(withService("    routes: [{path: /x}]\n"), "f");
  REQUIRE(Parsed);
  CHECK(Parsed.value().Services_.front().Routes_.front() == defaultRoute("/x"));
}

// Guards against values that are stored in the wrong member or converted with
// the wrong unit.
TEST_CASE_FIXTURE(ParserFixture, "every key is read into its member") {
  auto Parsed = parseText(
      "\xEF\xBB\xBF{epoch: 7, mesh: m, services: {b: , a: {depends_on: [b], "
      "slots: 1, queue: 0, connections: 3, slow_start: 2m, objective: "
      "{availability: 99.95%, latency: 300us, latency_ratio: 5%}, routes: ["
      "{path: /, methods: [POST, GET], repeatable: true, deadline: 300ms, "
      "priority: background, max_body: 64KiB}, {path: /long/er, max_body: "
      "1MiB, deadline: 2s, priority: 'critical', repeatable: false}]}}}",
      "f");
  if (!Parsed)
    FAIL(toText(Parsed.error().front()));
  const ServiceModel &Model = Parsed.value();
  CHECK(Model.Epoch_ == 7);
  REQUIRE(Model.Services_.size() == 2);
  const ServiceConfig &A = Model.Services_[0];
  CHECK(A.Name_ == "a");
  CHECK(A.DependsOn_ == std::vector<std::string>{"b"});
  CHECK(A.Slots_ == 1);
  CHECK(A.Queue_ == 0);
  CHECK(A.Connections_ == 3);
  CHECK(A.SlowStart_ == std::chrono::minutes(2));
  CHECK(A.Objective_.Availability_ == 0.9995);
  CHECK(A.Objective_.Latency_ == std::chrono::microseconds(300));
  CHECK(A.Objective_.LatencyRatio_ == 0.05);
  REQUIRE(A.Routes_.size() == 2);
  CHECK(A.Routes_[0].Path_ == "/long/er");
  CHECK(A.Routes_[0].MaxBody_ == 1024 * 1024);
  CHECK(A.Routes_[0].Priority_ == Priority::Critical);
  CHECK(A.Routes_[1].Methods_ == std::vector<std::string>{"GET", "POST"});
  CHECK(A.Routes_[1].Repeatable_);
  CHECK(A.Routes_[1].Deadline_ == std::chrono::milliseconds(300));
  CHECK(A.Routes_[1].Priority_ == Priority::Background);
  CHECK(A.Routes_[1].MaxBody_ == 65536);
}

// Each row is a text that a lenient parser would accept or crash on.
TEST_CASE_FIXTURE(ParserFixture, "text that breaks YAML rules is refused") {
  std::string Deep;
  for (int Level = 0; Level < 17; ++Level)
    Deep += std::string(static_cast<std::size_t>(Level), ' ') + "a:\n";
  const BadText Rows[] = {
      {"", ErrorCode::TextSyntax, 1},
      {"# only a comment\n", ErrorCode::TextSyntax, 1},
      {"epoch: 1\nmesh: \xff\n", ErrorCode::TextNotUtf8, 2},
      {"epoch: \xC0\x80\n", ErrorCode::TextNotUtf8, 1},
      {"epoch: \xED\xA0\x80\n", ErrorCode::TextNotUtf8, 1},
      {"epoch: \xF4\x90\x80\x80\n", ErrorCode::TextNotUtf8, 1},
      {"epoch: \xE2\x82", ErrorCode::TextNotUtf8, 1},
      {std::string("\0e\0p", 4), ErrorCode::TextSyntax, 1},
      {"epoch: 1\nmesh: \x01\n", ErrorCode::TextSyntax, 2},
      {"epoch: [1\nmesh: m\n", ErrorCode::TextSyntax, 2},
      {"epoch: 1\n\tmesh: m\n", ErrorCode::TextSyntax, 2},
      {"epoch: [1, 2\n\n", ErrorCode::TextSyntax, 3},
      // yaml-cpp itself accepts these two texts, which look truncated.
      {services(1) + "mesh: 'x\n", ErrorCode::TextSyntax, 5},
      {services(1) + "mesh: \"x\\\"\n\n", ErrorCode::TextSyntax, 5},
      {"{a: 1}\nb: 2\n", ErrorCode::TextSyntax, 2},
      {"epoch: 1\n---\nepoch: 2\n", ErrorCode::TextSyntax, 2},
      {"%YAML 1.2\n---\nepoch: 1\n", ErrorCode::TextSyntax, 1},
      {"epoch: &a 1\nmesh: m\nservices: {a: }\n", ErrorCode::TextAlias, 1},
      {"epoch: 1\nmesh: *a\n", ErrorCode::TextAlias, 2},
      {"epoch: !!int 1\nmesh: m\nservices: {a: }\n", ErrorCode::TextAlias, 1},
      {"epoch: 1\nmesh: ! m\nservices: {a: }\n", ErrorCode::TextAlias, 2},
      {"epoch: 1\nmesh: m\nservices: !x {a: }\n", ErrorCode::TextAlias, 3},
      {Deep, ErrorCode::TextTooDeep, 17},
      {"epoch: 1\nmesh: " + std::string(17, '['), ErrorCode::TextTooDeep, 2},
      {std::string(MaxTextBytes / 2, '['), ErrorCode::TextTooDeep, 1},
      // The bracket check takes a quoted "#" for a comment and misses the
      // brackets after it, so the nesting check at each event must stop the
      // parser.
      {"x: [' # ', " + std::string(20, '['), ErrorCode::TextTooDeep, 1},
      {"epoch: 1\nmesh:\n- - - - - - - - - - - - - - - - - x\n",
       ErrorCode::TextTooDeep, 3},
      {std::string(MaxTextBytes + 1, ' '), ErrorCode::TextTooLarge, 0},
      {std::string(MaxTextBytes + 1, '\xff'), ErrorCode::TextTooLarge, 0},
  };
  for (const BadText &Row : Rows)
    checkRefused(Row.Text_, Row.Code_, Row.Line_);
}

// Guards against typing errors in keys and types that are silently ignored.
TEST_CASE_FIXTURE(ParserFixture, "text with wrong keys or types is refused") {
  const BadText Rows[] = {
      {"- 1\n", ErrorCode::WrongType, 1},
      {"epoch: 1\nmesh: m\n", ErrorCode::MissingKey, 1},
      {"epoch: 1\nservices: {a: }\n", ErrorCode::MissingKey, 1},
      {"mesh: m\nservices: {a: }\n", ErrorCode::MissingKey, 1},
      {services(1) + "epock: 1\n", ErrorCode::UnknownKey, 5},
      {services(1) + "<<: {a: 1}\n", ErrorCode::UnknownKey, 5},
      {services(1) + "epoch: 1\n", ErrorCode::DuplicateKey, 5},
      {services(1) + "? [x]\n: 1\n", ErrorCode::WrongType, 5},
      {services(1) + "  s0:\n", ErrorCode::DuplicateKey, 5},
      {"epoch: 1\nmesh: m\nservices: {}\n", ErrorCode::OutOfRange, 3},
      {"epoch: 1\nmesh: m\nservices: [a]\n", ErrorCode::WrongType, 3},
      {"epoch: 1\nmesh: m\nservices:\n", ErrorCode::WrongType, 3},
      {"epoch: 1\nmesh: m\nservices: {? [a] : 1}\n", ErrorCode::WrongType, 3},
      {"epoch: 0\nmesh: m\nservices: {a: }\n", ErrorCode::OutOfRange, 1},
      {"epoch: '1'\nmesh: m\nservices: {a: }\n", ErrorCode::WrongType, 1},
      {"epoch: 0x1\nmesh: m\nservices: {a: }\n", ErrorCode::WrongType, 1},
      {"epoch: -1\nmesh: m\nservices: {a: }\n", ErrorCode::WrongType, 1},
      {"epoch: 4294967296\nmesh: m\nservices: {a: }\n", ErrorCode::OutOfRange,
       1},
      {"epoch: 1\nmesh: [m]\nservices: {a: }\n", ErrorCode::WrongType, 2},
      {withService("    slot: 1\n"), ErrorCode::UnknownKey, 5},
      {withService("    slots: 1\n    slots: 2\n"), ErrorCode::DuplicateKey, 6},
      {withService("    slots: '1'\n"), ErrorCode::WrongType, 5},
      {withService("    slots: many\n"), ErrorCode::WrongType, 5},
      {withService("    slots: 1.5\n"), ErrorCode::WrongType, 5},
      {withService("    slots: 010\n"), ErrorCode::WrongType, 5},
      {withService("    slots: [1]\n"), ErrorCode::WrongType, 5},
      {withService("    slots: ~\n"), ErrorCode::WrongType, 5},
      {withService("    depends_on: b\n"), ErrorCode::WrongType, 5},
      {withService("    depends_on: [[b]]\n"), ErrorCode::WrongType, 5},
      {withService("    objective: 99%\n"), ErrorCode::WrongType, 5},
      {withService("    objective: {avail: 99%}\n"), ErrorCode::UnknownKey, 5},
      {withService("    routes: {path: /}\n"), ErrorCode::WrongType, 5},
      {withService("    routes: [x]\n"), ErrorCode::WrongType, 5},
      {withService("    routes: [{methods: [GET]}]\n"), ErrorCode::MissingKey,
       5},
      {withService("    routes: [{path: /, retry: 1}]\n"),
       ErrorCode::UnknownKey, 5},
      {withService("    routes: [{path: /, methods: GET}]\n"),
       ErrorCode::WrongType, 5},
      {withService("    routes: [{path: /, repeatable: yes}]\n"),
       ErrorCode::WrongType, 5},
      {withService("    routes: [{path: /, repeatable: 'true'}]\n"),
       ErrorCode::WrongType, 5},
      {"epoch: 1\nmesh: m\nservices:\n  a: 1\n", ErrorCode::WrongType, 4},
  };
  for (const BadText &Row : Rows)
    checkRefused(Row.Text_, Row.Code_, Row.Line_);
}

// Guards against invalid values that are accepted or reported on the wrong
// line.
TEST_CASE_FIXTURE(ParserFixture, "text with wrong values is refused") {
  const BadText Rows[] = {
      {withService("    slow_start: 5\n"), ErrorCode::WrongUnit, 5},
      {withService("    slow_start: 5sec\n"), ErrorCode::WrongUnit, 5},
      {withService("    slow_start: 5 s\n"), ErrorCode::WrongUnit, 5},
      {withService("    slow_start: 300us\n"), ErrorCode::WrongUnit, 5},
      {withService("    slow_start: 1.5s\n"), ErrorCode::WrongType, 5},
      {withService("    slow_start: 11m\n"), ErrorCode::OutOfRange, 5},
      {withService("    slow_start: 99999999999999999999999m\n"),
       ErrorCode::OutOfRange, 5},
      {withService("    slots: 0\n"), ErrorCode::OutOfRange, 5},
      {withService("    slots: 4294967297\n"), ErrorCode::OutOfRange, 5},
      {withService("    objective: {availability: 0.999}\n"),
       ErrorCode::WrongUnit, 5},
      {withService("    objective: {availability: 100%}\n"),
       ErrorCode::OutOfRange, 5},
      {withService("    objective: {availability: 99.99999%}\n"),
       ErrorCode::WrongType, 5},
      {withService("    objective: {latency: 99us}\n"), ErrorCode::OutOfRange,
       5},
      {withService("    routes: [{path: /, deadline: 0ms}]\n"),
       ErrorCode::OutOfRange, 5},
      {withService("    routes: [{path: /, priority: high}]\n"),
       ErrorCode::OutOfRange, 5},
      {withService("    routes: [{path: /, max_body: 64KB}]\n"),
       ErrorCode::WrongUnit, 5},
      {withService("    routes: [{path: /, max_body: 17MiB}]\n"),
       ErrorCode::OutOfRange, 5},
      {withService("    routes: []\n"), ErrorCode::OutOfRange, 5},
      {withService("    routes: [{path: /, methods: []}]\n"),
       ErrorCode::OutOfRange, 5},
      {withService("    routes: [{path: /, methods: [get]}]\n"),
       ErrorCode::OutOfRange, 5},
      {withService("    routes: [{path: /, methods: [GET, GET]}]\n"),
       ErrorCode::DuplicateKey, 5},
      {withService("    routes:\n    - path: bookings\n"), ErrorCode::BadName,
       6},
      {withService("    routes:\n    - path: /a/\n"), ErrorCode::BadName, 6},
      {withService("    routes:\n    - path: /a//b\n"), ErrorCode::BadName, 6},
      {withService("    routes:\n    - path: /a/../b\n"), ErrorCode::BadName,
       6},
      {withService("    routes:\n    - path: /a%62\n"), ErrorCode::BadName, 6},
      {withService("    routes:\n    - path: /" + std::string(256, 'a') + "\n"),
       ErrorCode::BadName, 6},
      {withService("    routes:\n    - path: /a\n    - path: /a\n"),
       ErrorCode::DuplicateRoute, 7},
      {withService("    routes:\n    - {path: /a, methods: [GET, PUT]}\n"
                   "    - {path: /a, methods: [PUT]}\n"),
       ErrorCode::DuplicateRoute, 7},
      {withService("    depends_on:\n    - b\n"), ErrorCode::DanglingDependency,
       6},
      {withService("    depends_on:\n    - a\n"), ErrorCode::CyclicDependency,
       6},
      {withService("    depends_on: [b, b]\n  b:\n"), ErrorCode::DuplicateKey,
       5},
      {withService("    depends_on: [b]\n  b: {depends_on: [c]}\n  c:\n"
                   "    depends_on: [a]\n"),
       ErrorCode::CyclicDependency, 8},
      {"epoch: 1\nmesh: M\nservices: {a: }\n", ErrorCode::BadName, 2},
      {"epoch: 1\nmesh: m\nservices:\n  a_b:\n", ErrorCode::BadName, 4},
      {"epoch: 1\nmesh: m\nservices:\n  -a:\n", ErrorCode::BadName, 4},
      {"epoch: 1\nmesh: m\nservices:\n  '':\n", ErrorCode::BadName, 4},
      {"epoch: 1\nmesh: m\nservices:\n  " + std::string(64, 'a') + ":\n",
       ErrorCode::BadName, 4},
      {chain(MaxDependencyChain + 1), ErrorCode::TooDeepChain, 4},
      {services(MaxServices + 1), ErrorCode::TooMany, 4},
      {withService("    depends_on: [a" + std::string(128, ',') + "]\n"),
       ErrorCode::TooMany, 5},
      {routes(MaxRoutes + 1), ErrorCode::TooMany, 6},
  };
  for (const BadText &Row : Rows)
    checkRefused(Row.Text_, Row.Code_, Row.Line_);
}

// Guards against off-by-one errors in the limits.
TEST_CASE_FIXTURE(ParserFixture, "text at its limits is accepted") {
  std::string Largest = services(2);
  Largest += "#" + std::string(MaxTextBytes - Largest.size() - 1, 'x');
  REQUIRE(Largest.size() == MaxTextBytes);
  for (const std::string &Text :
       {Largest, chain(MaxDependencyChain), services(MaxServices),
        routes(MaxRoutes),
        withService("    slots: 10000\n    slow_start: 0ms\n"),
        withService("    routes: [{path: /, max_body: 16MiB}]\n"),
        withService("    objective: {availability: 99.9999%}\n")}) {
    CAPTURE(Text.substr(0, 100));
    auto Parsed = parseText(Text, "f");
    if (!Parsed)
      FAIL(toText(Parsed.error().front()));
  }
}

// Guards against reporting only the first error, or errors out of order.
TEST_CASE_FIXTURE(ParserFixture, "all errors are reported in order of place") {
  auto Parsed = parseText("epoch: 0\nmesh: M\nservices:\n  a:\n    slots: x\n"
                          "    depends_on: [a, c]\n    sloots: 1\n",
                          "f.yaml");
  REQUIRE_FALSE(Parsed);
  std::string Lines;
  for (const Diagnostic &Error : Parsed.error())
    Lines += std::to_string(Error.Line_) + ":" + std::to_string(Error.Column_) +
             " " + std::string(errorText(Error.Code_)) + "\n";
  CHECK(Lines == "1:8 out-of-range\n2:7 bad-name\n5:12 wrong-type\n"
                 "6:18 cyclic-dependency\n6:21 dangling-dependency\n"
                 "7:5 unknown-key\n");
  CHECK(toText(Parsed.error()[4]) ==
        "f.yaml:6:21: dangling-dependency: service 'c' does not exist; fix: "
        "add the service or remove the dependency");
}

// Guards against unbounded memory use for diagnostics.
TEST_CASE_FIXTURE(ParserFixture, "number of reported errors is bounded") {
  std::string Text;
  for (int Index = 0; Index < 5000; ++Index)
    Text += "k" + std::to_string(Index) + ": 1\n";
  auto Parsed = parseText(Text, "f");
  REQUIRE_FALSE(Parsed);
  CHECK(Parsed.error().size() == MaxDiagnostics + 1);
  CHECK(Parsed.error().back().Code_ == ErrorCode::TooMany);
}

TEST_CASE_FIXTURE(ParserFixture, "limits of cold targets are parsed") {
  auto Parsed = parseText(withService("    cold_time: 4500ms\n"
                                      "    cold_rate: 30\n"
                                      "    health_path: /health\n"
                                      "    routes:\n      - path: /\n"),
                          "f");
  REQUIRE(Parsed);
  const ServiceConfig &Service = Parsed.value().Services_.front();
  CHECK(Service.ColdTime_ == std::chrono::milliseconds(4500));
  CHECK(Service.ColdRate_ == 30);
  CHECK(Service.HealthPath_ == "/health");
}

TEST_CASE_FIXTURE(ParserFixture, "bad limits of cold targets are refused") {
  const BadText Rows[] = {
      {"    cold_time: 601s\n", ErrorCode::OutOfRange, 5},
      {"    cold_time: 4m3s\n", ErrorCode::WrongUnit, 5},
      {"    cold_time: -1s\n", ErrorCode::WrongType, 5},
      {"    cold_rate: 1000001\n", ErrorCode::OutOfRange, 5},
      {"    cold_rate: many\n", ErrorCode::WrongType, 5},
      {"    health_path: health\n", ErrorCode::BadName, 5},
      {"    health_path: /a?b\n", ErrorCode::BadName, 5},
      {"    health_path: [/a]\n", ErrorCode::WrongType, 5},
  };
  for (const BadText &Row : Rows)
    checkRefused(withService(Row.Text_ + "    routes:\n      - path: /\n"),
                 Row.Code_, Row.Line_);
}

} // namespace marigold::config
