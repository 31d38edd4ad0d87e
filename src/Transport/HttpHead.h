#pragma once

#include "Transport/HttpTypes.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace marigold::transport {

/// Position after the empty line that ends a header section, or npos. Bare line
/// feeds count as line ends, so that checkHead rejects them instead of the
/// connection waiting for more data.
std::size_t findHeadEnd(std::string_view Data);

/// Validates the raw bytes of a request's header section and returns the error,
/// if any. Beast accepts folded lines (obs-fold) and the parsed result does not
/// show them; another server may interpret them differently, which allows
/// request smuggling.
std::optional<ErrorCode> checkHead(std::string_view Head);

/// Validates a parsed request header and returns the error, if any: version,
/// form of the request target, exactly one Host (optional in HTTP/1.0),
/// unambiguous body length.
std::optional<ErrorCode>
checkRequest(const boost::beast::http::request_header<> &Head);

/// End-to-end header fields with lower-case names: omits hop-by-hop fields,
/// fields named by Connection, and Content-Length.
std::vector<Header> endToEndFields(const boost::beast::http::fields &Fields);

/// Converts a parsed request header; the body stays empty.
HttpRequest toRequest(const boost::beast::http::request_header<> &Head);

/// Adds header fields to a message. Hop-by-hop fields, Content-Length and
/// fields with invalid characters are omitted; the latter could end the header
/// section prematurely (response splitting).
void addFields(boost::beast::http::fields &Fields,
               const std::vector<Header> &Headers);

} // namespace marigold::transport
