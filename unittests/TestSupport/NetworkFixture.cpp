#include "TestSupport/NetworkFixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace marigold {

namespace {

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(Loopback);
  Address.sin_port = htons(Port);
  return Address;
}

void setSocketTimeouts(int Descriptor) {
  timeval Limit{};
  Limit.tv_sec = std::chrono::seconds(TestTimeout).count();
  ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  ::setsockopt(Descriptor, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
}

} // namespace

IoThreads::IoThreads() : Guard_(boost::asio::make_work_guard(Io_)) {
  for (int Index = 0; Index < 2; ++Index)
    Threads_.emplace_back([this] { Io_.run(); });
}

IoThreads::~IoThreads() { stop(); }

void IoThreads::stop() {
  Io_.stop();
  for (std::thread &Thread : Threads_)
    Thread.join();
  Threads_.clear();
}

bool eventually(const std::function<bool()> &Condition) {
  auto Limit = std::chrono::steady_clock::now() + TestTimeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Limit)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

RawConnection::RawConnection(std::uint16_t Port)
    : Descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
  setSocketTimeouts(Descriptor_);
  sockaddr_in Address = loopback(Port);
  if (::connect(Descriptor_, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0)
    throw std::runtime_error("connection refused");
  int On = 1;
  ::setsockopt(Descriptor_, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

RawConnection::RawConnection(int Descriptor, bool) : Descriptor_(Descriptor) {
  setSocketTimeouts(Descriptor_);
}

RawConnection::RawConnection(RawConnection &&Other) noexcept
    : Descriptor_(std::exchange(Other.Descriptor_, -1)) {}

RawConnection::~RawConnection() { close(); }

bool RawConnection::send(std::string_view Data) {
  while (!Data.empty()) {
    ssize_t Size = ::send(Descriptor_, Data.data(), Data.size(), MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Data.remove_prefix(static_cast<std::size_t>(Size));
  }
  return true;
}

std::string RawConnection::receive(std::size_t Size) {
  std::string Data(Size, '\0');
  std::size_t Received = 0;
  while (Received < Size) {
    ssize_t Part =
        ::recv(Descriptor_, Data.data() + Received, Size - Received, 0);
    if (Part <= 0) {
      Ended_ = Part == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      break;
    }
    Received += static_cast<std::size_t>(Part);
  }
  Data.resize(Received);
  return Data;
}

std::string RawConnection::receiveHttp() {
  std::string Data;
  while (Data.find("\r\n\r\n") == std::string::npos) {
    std::string Byte = receive(1);
    if (Byte.empty())
      return Data;
    Data += Byte;
  }
  std::string Length = fieldOf(Data, "content-length");
  if (!Length.empty())
    Data += receive(std::strtoul(Length.c_str(), nullptr, 10));
  return Data;
}

std::string RawConnection::receiveAll() {
  std::string Data;
  for (std::string Part = receive(1); !Part.empty(); Part = receive(1))
    Data += Part;
  return Data;
}

void RawConnection::finishSending() { ::shutdown(Descriptor_, SHUT_WR); }

void RawConnection::close(bool Reset) {
  if (Descriptor_ < 0)
    return;
  if (Reset) {
    linger Option{1, 0};
    ::setsockopt(Descriptor_, SOL_SOCKET, SO_LINGER, &Option, sizeof(Option));
  }
  ::close(std::exchange(Descriptor_, -1));
}

RawListener::RawListener() : Descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
  setSocketTimeouts(Descriptor_);
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (::bind(Descriptor_, Generic, sizeof(Address)) != 0 ||
      ::listen(Descriptor_, 64) != 0 ||
      ::getsockname(Descriptor_, Generic, &Size) != 0)
    throw std::runtime_error("cannot listen");
  Port_ = ntohs(Address.sin_port);
}

RawListener::~RawListener() { close(); }

RawConnection RawListener::accept() {
  int Descriptor = ::accept(Descriptor_, nullptr, nullptr);
  if (Descriptor < 0)
    throw std::runtime_error("accept failed or timed out");
  return RawConnection(Descriptor, true);
}

void RawListener::close() {
  if (Descriptor_ >= 0)
    ::close(std::exchange(Descriptor_, -1));
}

unsigned statusOf(const std::string &Message) {
  if (!Message.starts_with("HTTP/1.1 ") || Message.size() < 12)
    return 0;
  return static_cast<unsigned>(std::strtoul(Message.c_str() + 9, nullptr, 10));
}

std::string fieldOf(const std::string &Message, const std::string &LowerName) {
  std::string Lower(Message.substr(0, Message.find("\r\n\r\n") + 2));
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  std::size_t At = Lower.find("\r\n" + LowerName + ":");
  if (At == std::string::npos)
    return {};
  At += LowerName.size() + 3;
  std::string Value = Message.substr(At, Message.find("\r\n", At) - At);
  return Value.substr(std::min(Value.find_first_not_of(' '), Value.size()));
}

std::string bodyOf(const std::string &Message) {
  std::size_t End = Message.find("\r\n\r\n");
  return End == std::string::npos ? std::string() : Message.substr(End + 4);
}

} // namespace marigold
