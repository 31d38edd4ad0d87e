#pragma once

#include "Transport/HttpTypes.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace marigold::transport {

/// Position after the empty line that ends a header section, or npos. Bare
/// line feeds count as line ends here, so that checkHead sees and refuses
/// them instead of waiting for more bytes.
std::size_t findHeadEnd(std::string_view Data);

/// Checks the raw bytes of a request's header section. Beast accepts folded
/// lines (obs-fold) and cannot tell them from others afterwards; another
/// server may read them in another way, which allows request smuggling.
std::optional<ErrorCode> checkHead(std::string_view Head);

/// Checks a parsed request head: version, target form, exactly one Host, no
/// ambiguous length.
std::optional<ErrorCode>
checkRequest(const boost::beast::http::request_header<> &Head);

/// End-to-end fields with names in lower case: without hop-by-hop fields,
/// fields that Connection names, and Content-Length.
std::vector<Header> endToEndFields(const boost::beast::http::fields &Fields);

/// The request without its body.
HttpRequest toRequest(const boost::beast::http::request_header<> &Head);

/// Adds fields to a message. A field with characters that are not allowed is
/// left out, since it could end the header section early.
void addFields(boost::beast::http::fields &Fields,
               const std::vector<Header> &Headers);

} // namespace marigold::transport
