#include "Node/AdminServer.h"

#include <map>
#include <set>

namespace marigold::node {

using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

HttpResponse textResponse(unsigned Status, std::string Type, std::string Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"content-type", std::move(Type)});
  Response.Body_ = std::move(Body);
  return Response;
}

} // namespace

class AdminServer::Impl {
public:
  /// Handlers by path and method.
  using Routes = std::map<std::pair<std::string, std::string>, Handler>;

  Impl(boost::asio::io_context &Io, MetricsRegistry &Metrics)
      : Server_(Io, options(Routes_)) {
    (*Routes_)[{"/metrics", "GET"}] = [&Metrics](const HttpRequest &) {
      return textResponse(200, "text/plain; version=0.0.4", Metrics.render());
    };
  }

  // The routes are shared because connections may outlive the AdminServer.
  static transport::HttpServerOptions
  options(const std::shared_ptr<const Routes> &RouteTable) {
    transport::HttpServerOptions Values;
    Values.OnRequest_ =
        [RouteTable](const HttpRequest &Request,
                     const std::shared_ptr<HttpExchange> &Exchange) {
          Exchange->respond(answer(*RouteTable, Request));
        };
    return Values;
  }

  static HttpResponse answer(const Routes &RouteTable,
                             const HttpRequest &Request) {
    std::string Path = Request.Target_.substr(0, Request.Target_.find('?'));
    auto Position = RouteTable.find({Path, Request.Method_});
    if (Position != RouteTable.end())
      return Position->second(Request);
    std::string Allowed;
    for (const auto &[Route, Answer] : RouteTable)
      if (Route.first == Path)
        Allowed += (Allowed.empty() ? "" : ", ") + Route.second;
    if (Allowed.empty())
      return textResponse(404, "text/plain", "no such path\n");
    HttpResponse Response =
        textResponse(405, "text/plain", "method not allowed\n");
    Response.Headers_.push_back({"allow", Allowed});
    return Response;
  }

  std::shared_ptr<Routes> Routes_ = std::make_shared<Routes>();
  transport::HttpServer Server_;
};

AdminServer::AdminServer(boost::asio::io_context &Io, MetricsRegistry &Metrics)
    : Impl_(std::make_shared<Impl>(Io, Metrics)) {}

AdminServer::~AdminServer() { stop(); }

void AdminServer::handle(std::string Method, std::string Path, Handler Answer) {
  (*Impl_->Routes_)[{std::move(Path), std::move(Method)}] = std::move(Answer);
}

void AdminServer::setStatus(std::function<std::string(bool WithHosts)> Json) {
  handle(
      "GET", "/status", [Json = std::move(Json)](const HttpRequest &Request) {
        bool WithHosts = Request.Target_.find("hosts=0") == std::string::npos;
        return textResponse(200, "application/json", Json(WithHosts));
      });
}

void AdminServer::setDrain(std::function<void()> Start) {
  handle("POST", "/drain", [Start = std::move(Start)](const HttpRequest &) {
    Start();
    return textResponse(202, "text/plain", "draining\n");
  });
}

Result<void> AdminServer::listen(const Address &Local) {
  return Impl_->Server_.listen(Local);
}

std::uint16_t AdminServer::port() const { return Impl_->Server_.port(); }

void AdminServer::stop() { Impl_->Server_.stop(); }

} // namespace marigold::node
