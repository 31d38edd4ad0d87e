#pragma once

#include "StandIns/HttpCall.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

namespace marigold::standins {

/// Runs a simulated server on a free loopback port for the duration of a test.
template <class Server, class Settings> class ServerFixture {
public:
  ServerFixture() { Settings_.Address_ = {0x7f000001, 0}; }

  ~ServerFixture() {
    if (!Thread_.joinable())
      return;
    Server_->stop();
    Thread_.join();
  }

  /// Starts the server with Settings_.
  void start() {
    Server_ = std::make_unique<Server>(Settings_);
    REQUIRE(Server_->open());
    Where_ = Server_->address();
    Thread_ = std::thread([this] { Server_->run(false); });
  }

  HttpAnswer call(const std::string &Method, const std::string &Target,
                  const std::string &Body = {}, const HttpFields &Fields = {}) {
    auto Answer = callHttp(Where_, Method, Target, Fields, Body);
    REQUIRE(Answer);
    return Answer.value();
  }

  HttpAnswer get(const std::string &Target) { return call("GET", Target); }

  /// Polls Target until the body contains Text. The limit on the number of
  /// attempts only ends a test that would otherwise hang.
  bool becomes(const std::string &Target, const std::string &Text) {
    for (int Attempt = 0; Attempt < 2000; ++Attempt) {
      if (get(Target).Body_.find(Text) != std::string::npos)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  Settings Settings_{};
  Address Where_;

private:
  std::unique_ptr<Server> Server_;
  std::thread Thread_;
};

} // namespace marigold::standins
