#include "Node/NodeProcess.h"

#include "Node/AdminServer.h"
#include "Node/CallerSide.h"
#include "Node/ControlPlane.h"
#include "Node/PeerDispatcher.h"
#include "Node/TargetSide.h"
#include "Support/Addresses.h"
#include "Support/Digest.h"
#include "Support/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <random>
#include <thread>
#include <vector>

namespace marigold::node {
namespace {

/// Time for the last notices and answers to leave before the process ends.
constexpr Duration ExitDelay = std::chrono::milliseconds(200);
constexpr Duration SyncIdle = std::chrono::seconds(5);

HostRecord ownRecord(const NodeSettings &Settings) {
  auto Wall = std::chrono::system_clock::now().time_since_epoch();
  HostRecord Own;
  Own.Id_ = toHostId(Settings.PeerAddress_);
  Own.Incarnation_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wall).count());
  Own.Sequence_ = 1;
  Own.State_ = HostState::Starting;
  Own.Service_ = Settings.Service_;
  Own.FailureDomain_ = Settings.FailureDomain_;
  Own.Region_ = Settings.Region_;
  Own.CallerPort_ = Settings.CallerPort_;
  Own.AdminPort_ = Settings.AdminPort_;
  return Own;
}

std::uint64_t chooseSeed(const NodeSettings &Settings) {
  if (Settings.RandomSeed_ != 0)
    return mixHash(Settings.RandomSeed_,
                   hashOf(toHostId(Settings.PeerAddress_)));
  std::random_device Device;
  return static_cast<std::uint64_t>(Device()) << 32 | Device();
}

} // namespace

class NodeProcess::Impl {
public:
  explicit Impl(NodeSettings Settings)
      : Settings_(std::move(Settings)), Own_(ownRecord(Settings_)),
        Seeds_(chooseSeed(Settings_)),
        Io_(static_cast<int>(Settings_.Threads_)), Signals_(Io_),
        DrainTimer_(Io_),
        Control_({Io_, Metrics_, Settings_}, Own_, Seeds_.next(),
                 std::chrono::steady_clock::now()),
        Target_({Io_, Control_, Metrics_, Settings_}, Own_.Incarnation_,
                Seeds_.next()),
        Dispatcher_(Target_, Control_),
        Server_(Io_, Dispatcher_, peerOptions()),
        Pool_(Io_, Dispatcher_, peerOptions(), Seeds_.next()),
        SyncPool_(Io_, Dispatcher_, syncOptions(), Seeds_.next()),
        Caller_({Io_, Control_, Pool_,
                 Settings_.Service_.empty() ? nullptr : &Target_, Metrics_,
                 Settings_},
                Seeds_.next()),
        Admin_(Io_, Metrics_) {}

  Result<void> start() {
    Control_.attach(
        {Pool_, SyncPool_, Server_},
        [this](const CrashNotice &Notice) { Target_.onCrashNotice(Notice); });
    Admin_.setStatus(
        [this](bool WithHosts) { return Control_.statusJson(WithHosts); });
    Admin_.setDrain([this] { drain("request"); });
    std::uint32_t Ip = Settings_.PeerAddress_.Ipv4_;
    BOOST_OUTCOME_TRY(Server_.listen(Settings_.PeerAddress_));
    BOOST_OUTCOME_TRY(Admin_.listen({Ip, Settings_.AdminPort_}));
    BOOST_OUTCOME_TRY(Caller_.listen({Ip, Settings_.CallerPort_}));
    BOOST_OUTCOME_TRY(Control_.start());
    if (Settings_.Service_.empty())
      Control_.ownStateChanged(HostState::Ready);
    else
      Target_.start();
    waitForSignal();
    logEvent(LogLevel::Info, "node_started",
             {{"service", Settings_.Service_}, {"region", Settings_.Region_}});
    return success();
  }

  void run() {
    std::vector<std::thread> Threads;
    for (std::uint64_t Index = 1; Index < Settings_.Threads_; ++Index)
      Threads.emplace_back([this] { Io_.run(); });
    Io_.run();
    for (std::thread &Thread : Threads)
      Thread.join();
  }

private:
  transport::PeerOptions peerOptions() {
    transport::PeerOptions Options;
    Options.Mesh_ = hash64(Settings_.Mesh_);
    Options.OwnRecord_ = [this] { return Control_.ownRecord(); };
    Options.Metrics_ = &Metrics_;
    return Options;
  }

  /// Peers for synchronization are random, so their connections are seldom
  /// used again.
  transport::PeerOptions syncOptions() {
    transport::PeerOptions Options = peerOptions();
    Options.Limits_.Idle_ = SyncIdle;
    return Options;
  }

  void waitForSignal() {
    Signals_.add(SIGTERM);
    Signals_.add(SIGINT);
    Signals_.async_wait([this](const boost::system::error_code &Error, int) {
      if (Error)
        return;
      if (DrainStarted_) {
        Io_.stop();
        return;
      }
      drain("signal");
      waitForSignal();
    });
  }

  /// Refuses new work, lets running work end, tells the others and exits.
  void drain(const char *Reason) {
    if (DrainStarted_.exchange(true))
      return;
    logEvent(LogLevel::Info, "exit_requested", {{"reason", Reason}});
    Caller_.drain();
    Target_.drain([this] { boost::asio::post(Io_, [this] { targetDone(); }); });
    DrainTimer_.expires_after(Settings_.DrainLimit_);
    DrainTimer_.async_wait([this](const boost::system::error_code &Error) {
      if (Error)
        return;
      logEvent(LogLevel::Warning, "drain_limit_exceeded");
      finish();
    });
  }

  /// Calls that callers made through this node may still run elsewhere.
  void targetDone() {
    if (Caller_.open() == 0) {
      finish();
      return;
    }
    PollTimer_.expires_after(ExitDelay);
    PollTimer_.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        targetDone();
    });
  }

  void finish() {
    if (Finished_.exchange(true))
      return;
    logEvent(LogLevel::Info, "node_exits");
    DrainTimer_.cancel();
    Control_.stop(true);
    PollTimer_.expires_after(ExitDelay);
    PollTimer_.async_wait(
        [this](const boost::system::error_code &) { Io_.stop(); });
  }

  NodeSettings Settings_;
  HostRecord Own_;
  Random Seeds_;
  MetricsRegistry Metrics_;
  boost::asio::io_context Io_;
  boost::asio::signal_set Signals_;
  boost::asio::steady_timer DrainTimer_;
  boost::asio::steady_timer PollTimer_{Io_};
  ControlPlane Control_;
  TargetSide Target_;
  PeerDispatcher Dispatcher_;
  transport::PeerServer Server_;
  transport::PeerConnectionPool Pool_;
  // A snapshot is one frame of up to 2 MiB; calls must not wait behind it.
  transport::PeerConnectionPool SyncPool_;
  CallerSide Caller_;
  AdminServer Admin_;
  std::atomic<bool> DrainStarted_{false};
  std::atomic<bool> Finished_{false};
};

NodeProcess::NodeProcess(NodeSettings Settings)
    : Impl_(std::make_unique<Impl>(std::move(Settings))) {}

NodeProcess::~NodeProcess() = default;

Result<void> NodeProcess::start() { return Impl_->start(); }

void NodeProcess::run() { Impl_->run(); }

} // namespace marigold::node
