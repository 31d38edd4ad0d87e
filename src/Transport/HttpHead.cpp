#include "Transport/HttpHead.h"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <cctype>

namespace marigold::transport {

namespace http = boost::beast::http;

namespace {

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(
      Lower.begin(), Lower.end(), Lower.begin(),
      [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Lower;
}

bool isControl(char Character) {
  auto Value = static_cast<unsigned char>(Character);
  return (Value < 0x20 && Character != '\t') || Value == 0x7f;
}

bool isTokenCharacter(char Character) {
  static constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         Others.find(Character) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isTokenCharacter);
}

std::string_view toView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Host name without port; empty if Value is not a valid host name or address.
std::string_view hostName(std::string_view Value) {
  std::string_view Name = Value.substr(0, Value.find(':'));
  bool Valid = std::all_of(Name.begin(), Name.end(), [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '-' || C == '.' || C == '_';
  });
  return Valid ? Name : std::string_view();
}

bool isTargetValid(std::string_view Target) {
  return !Target.empty() && Target.front() == '/' &&
         std::all_of(Target.begin(), Target.end(),
                     [](char C) { return C > 0x20 && C < 0x7f; });
}

} // namespace

std::size_t findHeadEnd(std::string_view Data) {
  for (std::size_t At = Data.find('\n'); At != std::string_view::npos;
       At = Data.find('\n', At + 1)) {
    std::string_view Rest = Data.substr(At + 1);
    if (Rest.starts_with('\n'))
      return At + 2;
    if (Rest.starts_with("\r\n"))
      return At + 3;
  }
  return std::string_view::npos;
}

std::optional<ErrorCode> checkHead(std::string_view Head) {
  bool First = true;
  while (!Head.empty()) {
    std::size_t End = Head.find('\n');
    if (End == std::string_view::npos || End == 0 || Head[End - 1] != '\r')
      return ErrorCode::MalformedRequest;
    std::string_view Line = Head.substr(0, End - 1);
    Head.remove_prefix(End + 1);
    if (std::any_of(Line.begin(), Line.end(), isControl))
      return ErrorCode::MalformedRequest;
    if (Line.empty())
      break;
    if (!First) {
      // Rejects folded lines (obs-fold) too: they begin with white space, which
      // is not part of a valid field name.
      std::size_t Colon = Line.find(':');
      if (Colon == std::string_view::npos || !isToken(Line.substr(0, Colon)))
        return ErrorCode::MalformedRequest;
    }
    First = false;
  }
  return std::nullopt;
}

std::optional<ErrorCode> checkRequest(const http::request_header<> &Head) {
  if (Head.version() != 11 && Head.version() != 10)
    return ErrorCode::MalformedRequest;
  if (!isToken(toView(Head.method_string())) ||
      Head.method() == http::verb::connect ||
      !isTargetValid(toView(Head.target())))
    return ErrorCode::MalformedRequest;
  std::size_t Hosts = Head.count(http::field::host);
  if (Hosts > 1 || (Hosts == 0 && Head.version() == 11))
    return ErrorCode::MalformedRequest;
  if (Hosts == 1 && hostName(toView(Head[http::field::host])).empty())
    return ErrorCode::MalformedRequest;
  std::size_t Lengths = Head.count(http::field::content_length);
  std::size_t Codings = Head.count(http::field::transfer_encoding);
  if (Lengths > 1 || Codings > 1 || (Lengths != 0 && Codings != 0))
    return ErrorCode::MalformedRequest;
  if (Codings != 0 &&
      (Head.version() == 10 ||
       lowerCase(toView(Head[http::field::transfer_encoding])) != "chunked"))
    return ErrorCode::MalformedRequest;
  return std::nullopt;
}

std::vector<Header> endToEndFields(const http::fields &Fields) {
  std::vector<Header> Headers;
  http::token_list Named(Fields[http::field::connection]);
  for (const auto &Field : Fields) {
    if (Field.name() == http::field::content_length)
      continue;
    std::string Name = lowerCase(toView(Field.name_string()));
    if (isHopByHop(Name) || Named.exists(Name))
      continue;
    Headers.push_back({std::move(Name), std::string(toView(Field.value()))});
  }
  return Headers;
}

HttpRequest toRequest(const http::request_header<> &Head) {
  HttpRequest Request;
  Request.Method_ = toView(Head.method_string());
  Request.Target_ = toView(Head.target());
  Request.Host_ = lowerCase(hostName(toView(Head[http::field::host])));
  Request.Headers_ = endToEndFields(Head);
  std::erase_if(Request.Headers_,
                [](const Header &Field) { return Field.Name_ == "host"; });
  Request.Arrival_ = std::chrono::steady_clock::now();
  return Request;
}

void addFields(http::fields &Fields, const std::vector<Header> &Headers) {
  for (const Header &Field : Headers) {
    bool Allowed =
        isToken(Field.Name_) && !isHopByHop(Field.Name_) &&
        Field.Name_ != "content-length" &&
        std::none_of(Field.Value_.begin(), Field.Value_.end(), isControl);
    if (Allowed)
      Fields.insert(Field.Name_, Field.Value_);
  }
}

} // namespace marigold::transport
