#include "Node/NodeProcess.h"

#include "Node/AdminServer.h"
#include "Node/CallerProxy.h"
#include "Node/ControlPlane.h"
#include "Node/PeerDispatcher.h"
#include "Node/SourceClient.h"
#include "Node/TargetProxy.h"
#include "Transport/IngressPacer.h"

#include "Support/Addresses.h"
#include "Support/Digest.h"
#include "Support/FileStamp.h"
#include "Support/LinkRate.h"
#include "Support/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>

#include <malloc.h>

#include <csignal>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <vector>

namespace marigold::node {
namespace {

/// Time to send the last notices and responses before the process exits.
constexpr Duration ExitDelay = std::chrono::milliseconds(200);
/// Time after which an idle synchronization connection is closed.
constexpr Duration SyncIdleTimeout = std::chrono::seconds(5);
/// Interval at which a draining node checks whether all calls have ended.
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
/// Interval at which the settings file is read again on a host without calls.
constexpr Duration SettingsInterval = std::chrono::seconds(1);
/// Size in bytes from which a block of memory is returned when it is freed.
constexpr int LargeBlock = 128 * 1024;
/// Margin between the end of draining and the time at which the platform kills
/// a stopping process.
constexpr Duration KillMargin = std::chrono::milliseconds(600);

/// What is held for clients gets one part in MemoryShare of the host's memory.
/// The rest is for the process itself.
constexpr std::uint64_t MemoryShare = 2;

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
  Own.LinkMbps_ = static_cast<std::uint32_t>(Settings.LinkMbps_);
  return Own;
}

std::shared_ptr<transport::EgressPacer>
makePacer(boost::asio::io_context &Io, const NodeSettings &Settings) {
  if (Settings.LinkMbps_ <= 0)
    return nullptr;
  return std::make_shared<transport::EgressPacer>(
      Io, linkBytesPerSecond(Settings.LinkMbps_));
}

std::shared_ptr<transport::IngressPacer>
makeIngressPacer(boost::asio::io_context &Io, const NodeSettings &Settings,
                 MetricsRegistry &Metrics) {
  if (Settings.LinkMbps_ <= 0)
    return nullptr;
  return std::make_shared<transport::IngressPacer>(
      Io, linkBytesPerSecond(Settings.LinkMbps_), &Metrics);
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
  Impl(NodeSettings Settings, PlatformAdapter Adapter,
       SettingsReader ReloadSettings)
      : Settings_(std::move(Settings)), Adapter_(std::move(Adapter)),
        ReloadSettings_(std::move(ReloadSettings)),
        Service_(Settings_.Service_), Own_(ownRecord(Settings_)),
        SeedGenerator_(chooseSeed(Settings_)),
        Io_(static_cast<int>(Settings_.Threads_)), Signals_(Io_),
        DrainTimer_(Io_),
        Control_({Io_, Metrics_, Settings_}, Own_, SeedGenerator_.next(),
                 std::chrono::steady_clock::now(), Adapter_.MakeSource_),
        Target_({Io_, Control_, Metrics_, Settings_, Adapter_.HeaderNames_,
                 Pacer_, Memory_},
                Own_.Incarnation_, SeedGenerator_.next()),
        Dispatcher_(Target_, Control_),
        Server_(Io_, Dispatcher_, peerOptions()),
        CallPool_(Io_, Dispatcher_, peerOptions(), SeedGenerator_.next()),
        SyncPool_(Io_, Dispatcher_, syncOptions(), SeedGenerator_.next()),
        BulkPool_(Io_, Dispatcher_, peerOptions(), SeedGenerator_.next()),
        Caller_({Io_, Control_, CallPool_,
                 Settings_.Service_.empty() ? nullptr : &Target_, Metrics_,
                 Settings_, Adapter_.HeaderNames_,
                 [this] { reloadChangedSettings(); }, Memory_, &BulkPool_},
                SeedGenerator_.next()),
        Admin_(Io_, Metrics_), ReadyServer_(Io_, Metrics_) {}

  Result<void> start() {
    // Returns large blocks to the system as soon as they are freed. Otherwise
    // the allocator raises this threshold, and its free lists would count
    // towards the memory limit.
    if (Settings_.MemoryLimit_ > 0)
      mallopt(M_MMAP_THRESHOLD, LargeBlock);
    Control_.attach(
        {CallPool_, SyncPool_, BulkPool_, Server_},
        [this](const CrashNotice &Notice) { Target_.onCrashNotice(Notice); },
        [this](const OwnTarget &Own) { Target_.onOwnTarget(Own); },
        [this] { return Target_.heldBackCrashes(); });
    Admin_.setStatus(
        [this](bool WithHosts) { return Control_.statusJson(WithHosts); });
    Admin_.setDrain([this] { drain("request"); });
    auto Readiness = [this](const transport::HttpRequest &) {
      return readiness();
    };
    Admin_.handle("GET", "/ready", Readiness);
    ReadyServer_.handle("GET", "/ready", Readiness);
    BOOST_OUTCOME_TRY(Server_.listen(Settings_.PeerAddress_));
    BOOST_OUTCOME_TRY(Admin_.listen(
        addressOr(Settings_.AdminAddress_, Settings_.AdminPort_)));
    if (Settings_.ReadyAddress_.Port_ != 0) {
      BOOST_OUTCOME_TRY(ReadyServer_.listen(Settings_.ReadyAddress_));
    }
    BOOST_OUTCOME_TRY(Caller_.listen(
        addressOr(Settings_.CallerAddress_, Settings_.CallerPort_)));
    BOOST_OUTCOME_TRY(Control_.start());
    if (Settings_.Service_.empty())
      Control_.ownStateChanged(HostState::Ready);
    else
      Target_.start();
    waitForSignal();
    waitForReloadSignal();
    scheduleSettingsReload();
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
    Options.Pacer_ = Pacer_;
    Options.Ingress_ = Ingress_;
    Options.Memory_ = Memory_;
    return Options;
  }

  /// Options of synchronization connections. They are closed sooner than others
  /// because peers are chosen at random, so connections are rarely reused.
  transport::PeerOptions syncOptions() {
    transport::PeerOptions Options = peerOptions();
    Options.Limits_.Idle_ = SyncIdleTimeout;
    return Options;
  }

  /// Returns Given if it is set, otherwise Port at the IP address of the peer
  /// address.
  Address addressOr(const Address &Given, std::uint16_t Port) const {
    return Given.Port_ != 0 ? Given
                            : Address{Settings_.PeerAddress_.Ipv4_, Port};
  }

  transport::HttpResponse readiness() const {
    transport::HttpResponse Response;
    bool Ready = Control_.isReady() && !DrainStarted_;
    Response.Status_ = Ready ? 200 : 503;
    Response.Headers_.push_back({"content-type", "text/plain"});
    Response.Body_ = Ready           ? "ready\n"
                     : DrainStarted_ ? "draining\n"
                                     : "no configuration yet\n";
    return Response;
  }

  void waitForReloadSignal() {
    ReloadSignals_.async_wait(
        [this](const boost::system::error_code &Error, int) {
          if (Error)
            return;
          reloadSettings();
          waitForReloadSignal();
        });
  }

  /// Reloads the settings periodically, because the file may change without a
  /// SIGHUP.
  void scheduleSettingsReload() {
    if (!ReloadSettings_)
      return;
    SettingsTimer_.expires_after(SettingsInterval);
    SettingsTimer_.async_wait([this](const boost::system::error_code &Error) {
      if (Error)
        return;
      reloadSettings();
      scheduleSettingsReload();
    });
  }

  /// Reloads the settings if the file has changed. A call must not bear the
  /// service that ran on this host before.
  void reloadChangedSettings() {
    if (!ReloadSettings_)
      return;
    std::lock_guard Lock(SettingsMutex_);
    auto Stamp = stampOf(Settings_.SettingsFile_);
    if (std::exchange(SettingsStamp_, Stamp) != Stamp)
      readSettings();
  }

  void reloadSettings() {
    if (!ReloadSettings_)
      return;
    std::lock_guard Lock(SettingsMutex_);
    SettingsStamp_ = stampOf(Settings_.SettingsFile_);
    readSettings();
  }

  /// Requires SettingsMutex_.
  void readSettings() {
    auto Reloaded = ReloadSettings_();
    if (!Reloaded) {
      if (std::exchange(SettingsError_, Reloaded.error().Detail_) !=
          Reloaded.error().Detail_)
        logEvent(LogLevel::Warning, "settings_refused",
                 {{"detail", Reloaded.error().Detail_}});
      return;
    }
    SettingsError_.clear();
    const std::string &Service = Reloaded.value().Service_;
    if (Service == Service_)
      return;
    logEvent(LogLevel::Info, "settings_reloaded",
             {{"service_before", Service_}, {"service", Service}});
    Service_ = Service;
    Control_.setOwnService(Service);
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

  /// Refuses new work, waits for running work, notifies the peers and exits.
  void drain(const char *Reason) {
    if (DrainStarted_.exchange(true))
      return;
    logEvent(LogLevel::Info, "exit_requested", {{"reason", Reason}});
    Caller_.beginDrain();
    Target_.drain(
        [this] { boost::asio::post(Io_, [this] { exitWhenIdle(); }); });
    CallerPortTimer_.expires_after(Settings_.DrainDelay_);
    CallerPortTimer_.async_wait([this](const boost::system::error_code &Error) {
      if (Error)
        return;
      Caller_.drain();
      CallerPortTimer_.expires_after(transport::HttpServer::DrainGracePeriod_);
      CallerPortTimer_.async_wait(
          [this](const boost::system::error_code &Ended) {
            if (!Ended)
              CallerPortClosed_ = true;
          });
    });
    TakingTimer_.expires_after(takingLimit());
    TakingTimer_.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        Caller_.refuseNewCalls();
    });
    DrainTimer_.expires_after(drainLimit());
    DrainTimer_.async_wait([this](const boost::system::error_code &Error) {
      if (Error)
        return;
      logEvent(LogLevel::Warning, "drain_limit_exceeded",
               {{"open", std::to_string(Caller_.openCallCount())}});
      Caller_.answerOpenCalls();
      beginExit();
    });
  }

  /// Returns the time limit of draining, which ends before the platform's stop
  /// grace period. At the end of that period the platform kills the process.
  Duration drainLimit() const {
    if (Settings_.StopGrace_.count() == 0)
      return Settings_.DrainLimit_;
    Duration Usable =
        std::max<Duration>(Settings_.StopGrace_ - KillMargin, Duration::zero());
    return std::min<Duration>(Settings_.DrainLimit_, Usable);
  }

  /// Returns the time after the start of draining for which calls of callers
  /// are still taken. The other half of the time to exit is left for the calls
  /// to end.
  Duration takingLimit() const {
    Duration Limit = Settings_.DrainLimit_;
    if (Settings_.StopGrace_.count() != 0)
      Limit = std::min<Duration>(Limit, Settings_.StopGrace_);
    return Limit / 2;
  }

  /// Exits once the caller port is closed and all calls that callers made
  /// through this node, which may still run on other hosts, have ended. A
  /// connection on which a request is arriving or an answer is being sent, to a
  /// caller or to another node, also keeps the process.
  void exitWhenIdle() {
    if (CallerPortClosed_ && Caller_.openCallCount() == 0 &&
        Caller_.busyConnectionCount() == 0 && Server_.openStreams() == 0) {
      beginExit();
      return;
    }
    PollTimer_.expires_after(DrainPollInterval);
    PollTimer_.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        exitWhenIdle();
    });
  }

  void beginExit() {
    if (Finished_.exchange(true))
      return;
    logEvent(LogLevel::Info, "node_exits",
             {{"busy", std::to_string(Caller_.busyConnectionCount())}});
    DrainTimer_.cancel();
    // A call that is taken from here on would be cut off.
    Caller_.refuseNewCalls();
    Control_.stop(true);
    PollTimer_.expires_after(ExitDelay);
    PollTimer_.async_wait(
        [this](const boost::system::error_code &) { Io_.stop(); });
  }

  NodeSettings Settings_;
  const PlatformAdapter Adapter_;
  const SettingsReader ReloadSettings_;
  /// Recursive, because a changed service refuses waiting calls, whose callers'
  /// next calls may begin on the same thread.
  std::recursive_mutex SettingsMutex_;
  /// Service named in the settings file, the last error of reading the file,
  /// and the stamp of the file when it was read. Require SettingsMutex_.
  std::string Service_;
  std::string SettingsError_;
  std::optional<FileStamp> SettingsStamp_;
  HostRecord Own_;
  Random SeedGenerator_;
  MetricsRegistry Metrics_;
  boost::asio::io_context Io_;
  const std::shared_ptr<transport::EgressPacer> Pacer_ =
      makePacer(Io_, Settings_);
  const std::shared_ptr<transport::IngressPacer> Ingress_ =
      makeIngressPacer(Io_, Settings_, Metrics_);
  const std::shared_ptr<transport::MemoryAccount> Memory_ =
      std::make_shared<transport::MemoryAccount>(Settings_.MemoryLimit_ *
                                                 1'000'000 / MemoryShare);
  boost::asio::signal_set Signals_;
  boost::asio::strand<boost::asio::io_context::executor_type> SettingsStrand_{
      boost::asio::make_strand(Io_)};
  boost::asio::signal_set ReloadSignals_{SettingsStrand_, SIGHUP};
  boost::asio::steady_timer SettingsTimer_{SettingsStrand_};
  boost::asio::steady_timer CallerPortTimer_{Io_};
  boost::asio::steady_timer DrainTimer_;
  boost::asio::steady_timer TakingTimer_{Io_};
  boost::asio::steady_timer PollTimer_{Io_};
  ControlPlane Control_;
  TargetProxy Target_;
  PeerDispatcher Dispatcher_;
  transport::PeerServer Server_;
  transport::PeerConnectionPool CallPool_;
  // Separate from CallPool_, because a snapshot is one frame of up to 4 MiB
  // that would delay calls on the same connection.
  transport::PeerConnectionPool SyncPool_;
  /// For calls with large bodies; see CallerProxyParts.
  transport::PeerConnectionPool BulkPool_;
  CallerProxy Caller_;
  AdminServer Admin_;
  AdminServer ReadyServer_;
  std::atomic<bool> CallerPortClosed_{false};
  std::atomic<bool> DrainStarted_{false};
  std::atomic<bool> Finished_{false};
};

PlatformAdapter defaultPlatform() {
  PlatformAdapter Adapter;
  Adapter.MakeSource_ = [](boost::asio::io_context &Io,
                           const NodeSettings &Settings,
                           SourceCallObserver Observer) {
    return std::make_unique<SourceClient>(Io, Settings, std::move(Observer));
  };
  return Adapter;
}

NodeProcess::NodeProcess(NodeSettings Settings, PlatformAdapter Adapter,
                         SettingsReader ReloadSettings)
    : Impl_(std::make_unique<Impl>(std::move(Settings), std::move(Adapter),
                                   std::move(ReloadSettings))) {}

NodeProcess::~NodeProcess() = default;

Result<void> NodeProcess::start() { return Impl_->start(); }

void NodeProcess::run() { Impl_->run(); }

} // namespace marigold::node
