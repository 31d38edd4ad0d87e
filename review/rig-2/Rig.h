// Stand-ins of the cases of the second review: the platform's store, workers,
// clients, and the process of a node. They follow the users' pages and use
// nothing but the system's C and C++ libraries. Threads with blocking sockets:
// each connection has its own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

/// Seconds since the start of the script, on the steady clock.
inline double now() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

inline void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

inline void sleepUntil(double At) { sleepFor(At - now()); }

/// Unix time in milliseconds.
inline std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The record of what was sent, answered and run: one line an event.
class Record {
public:
  explicit Record(const std::string &Path) : Out_(Path) {}

  void line(const std::string &Text) {
    std::lock_guard Lock(Mutex_);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%9.3f ", now());
    Out_ << Time << Text << "\n" << std::flush;
  }

private:
  std::mutex Mutex_;
  std::ofstream Out_;
};

// HTTP/1.1 with a length.

struct Message {
  /// Request line or status line.
  std::string Start_;
  /// Names in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;

  std::string header(const std::string &Name) const {
    auto Position = Headers_.find(Name);
    return Position == Headers_.end() ? std::string() : Position->second;
  }
  /// Word of the first line, from 0.
  std::string word(int Number) const {
    std::istringstream In(Start_);
    std::string Word;
    for (int Index = 0; Index <= Number; ++Index)
      if (!(In >> Word))
        return {};
    return Word;
  }
};

inline bool sendAll(int Handle, std::string_view Data) {
  while (!Data.empty()) {
    ssize_t Size = ::send(Handle, Data.data(), Data.size(), MSG_NOSIGNAL);
    if (Size < 0 && errno == EINTR)
      continue;
    if (Size <= 0)
      return false;
    Data.remove_prefix(static_cast<std::size_t>(Size));
  }
  return true;
}

/// Reads one message of a connection. Data read beyond it stays in Rest.
/// Returns nothing if the connection ends or the time Until has passed.
inline std::optional<Message> readMessage(int Handle, std::string &Rest,
                                          double Until, bool HasBody = true) {
  auto More = [&] {
    double Left = Until - now();
    pollfd Entry{Handle, POLLIN, 0};
    if (Left <= 0 || ::poll(&Entry, 1, static_cast<int>(Left * 1000) + 1) <= 0)
      return false;
    char Data[65536];
    ssize_t Size = ::recv(Handle, Data, sizeof(Data), 0);
    if (Size <= 0)
      return false;
    Rest.append(Data, static_cast<std::size_t>(Size));
    return true;
  };
  std::size_t End = 0;
  while ((End = Rest.find("\r\n\r\n")) == std::string::npos)
    if (!More())
      return std::nullopt;
  Message Value;
  std::istringstream In(Rest.substr(0, End));
  std::string Line;
  std::getline(In, Line);
  if (!Line.empty() && Line.back() == '\r')
    Line.pop_back();
  Value.Start_ = Line;
  while (std::getline(In, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
      return static_cast<char>(std::tolower(C));
    });
    std::size_t From = Line.find_first_not_of(' ', Colon + 1);
    Value.Headers_[Name] =
        From == std::string::npos ? std::string() : Line.substr(From);
  }
  Rest.erase(0, End + 4);
  std::string Length = Value.header("content-length");
  if (!HasBody || Length.empty())
    return Value;
  std::size_t Size = std::stoul(Length);
  while (Rest.size() < Size)
    if (!More())
      return std::nullopt;
  Value.Body_ = Rest.substr(0, Size);
  Rest.erase(0, Size);
  return Value;
}

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

inline int openListener(const std::string &Ip, int Port) {
  int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Handle, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = addressOf(Ip, Port);
  if (::bind(Handle, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      ::listen(Handle, 512) != 0) {
    ::close(Handle);
    return -1;
  }
  return Handle;
}

/// Connects within a second, as clients do. Returns -1 on failure.
inline int connectTo(const std::string &Ip, int Port) {
  int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  timeval Limit{1, 0};
  ::setsockopt(Handle, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  sockaddr_in Address = addressOf(Ip, Port);
  if (::connect(Handle, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0) {
    ::close(Handle);
    return -1;
  }
  timeval None{0, 0};
  ::setsockopt(Handle, SOL_SOCKET, SO_SNDTIMEO, &None, sizeof(None));
  return Handle;
}

/// Accepts connections and serves each on a thread. stop() closes the port and
/// resets all connections, as the end of a process does.
class Server {
public:
  using Handler = std::function<void(int Handle)>;

  ~Server() { stop(); }

  bool start(const std::string &Ip, int Port, Handler Serve) {
    Listener_ = openListener(Ip, Port);
    if (Listener_ < 0)
      return false;
    State_ = std::make_shared<State>();
    Accepting_ = std::thread([State = State_, Listener = Listener_, Serve] {
      while (true) {
        int Handle = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (Handle < 0) {
          if (State->Stopped_ || errno != EINTR)
            return;
          continue;
        }
        int On = 1;
        ::setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
        {
          std::lock_guard Lock(State->Mutex_);
          if (State->Stopped_) {
            ::close(Handle);
            return;
          }
          State->Open_.insert(Handle);
        }
        std::thread([State, Handle, Serve] {
          Serve(Handle);
          std::lock_guard Lock(State->Mutex_);
          State->Open_.erase(Handle);
          ::close(Handle);
        }).detach();
      }
    });
    return true;
  }

  void stop() {
    if (!State_)
      return;
    {
      std::lock_guard Lock(State_->Mutex_);
      State_->Stopped_ = true;
      for (int Handle : State_->Open_) {
        linger Reset{1, 0};
        ::setsockopt(Handle, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
        ::shutdown(Handle, SHUT_RDWR);
      }
    }
    ::shutdown(Listener_, SHUT_RDWR);
    Accepting_.join();
    ::close(Listener_);
    State_.reset();
  }

private:
  struct State {
    std::mutex Mutex_;
    std::atomic<bool> Stopped_ = false;
    std::set<int> Open_;
  };
  int Listener_ = -1;
  std::shared_ptr<State> State_;
  std::thread Accepting_;
};

// The store.

inline std::string base64(std::string_view Text) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); At += 3) {
    unsigned Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group = Group << 8 | (At + Index < Text.size()
                                ? static_cast<unsigned char>(Text[At + Index])
                                : 0);
    for (int Index = 0; Index < 4; ++Index)
      Out += Digits[Group >> (18 - 6 * Index) & 63];
    if (At + 3 > Text.size())
      for (std::size_t Pad = At + 3 - Text.size(); Pad > 0; --Pad)
        Out[Out.size() - Pad] = '=';
  }
  return Out;
}

inline std::string percentDecode(const std::string &Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At)
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Out += static_cast<char>(
          std::strtol(Text.substr(At + 1, 2).c_str(), nullptr, 16));
      At += 2;
    } else {
      Out += Text[At];
    }
  return Out;
}

/// Value of a field of the query, decoded; fields are separated by "&".
inline std::string queryValue(const std::string &Target,
                              const std::string &Name) {
  std::size_t Query = Target.find('?');
  if (Query == std::string::npos)
    return {};
  std::istringstream In(Target.substr(Query + 1));
  std::string Pair;
  while (std::getline(In, Pair, '&'))
    if (Pair.starts_with(Name + "="))
      return percentDecode(Pair.substr(Name.size() + 1));
  return {};
}

/// The platform's store: keys, ranges, watches, and stale reads that are
/// StaleBy_ seconds old.
class Store {
public:
  explicit Store(Record &Log) : Log_(Log) {}
  ~Store() { Server_.stop(); }

  double StaleBy_ = 0;
  /// Decides whether the answer to a call is lost. The connection then returns
  /// nothing further. Called with the path and whether the answer has events.
  std::function<bool(const std::string &Target, bool HasEvents)> Lose_;
  /// Called for each answer given.
  std::function<void()> Answered_;

  bool start(const std::string &Ip, int Port) {
    return Server_.start(Ip, Port, [this](int Handle) { serve(Handle); });
  }

  /// Writes an item; returns the revision. The return is the ack.
  std::uint64_t put(const std::string &Key, const std::string &Value) {
    return change(Key, Value);
  }
  std::uint64_t remove(const std::string &Key) {
    return change(Key, std::nullopt);
  }

  /// Cuts the watches that are waiting.
  void cutWatches() {
    std::lock_guard Lock(Mutex_);
    ++Cuts_;
    Changed_.notify_all();
    Log_.line("store: waiting watches are cut");
  }

  /// Number of calls so far.
  int calls() const { return Calls_; }

private:
  struct Event {
    double At_ = 0;
    std::string Key_;
    std::optional<std::string> Value_;
    std::uint64_t Revision_ = 0;
    std::uint64_t Created_ = 0;
  };

  std::uint64_t change(const std::string &Key,
                       std::optional<std::string> Value) {
    std::lock_guard Lock(Mutex_);
    std::uint64_t Created = ++Revision_;
    for (const Event &Each : Events_)
      if (Each.Key_ == Key)
        Created = Each.Value_ ? Each.Created_ : Revision_;
    Events_.push_back({now(), Key, std::move(Value), Revision_, Created});
    Changed_.notify_all();
    return Revision_;
  }

  static std::string render(const Event &Each) {
    if (!Each.Value_)
      return "{\"key\":\"" + Each.Key_ +
             "\",\"revision\":" + std::to_string(Each.Revision_) +
             ",\"is_gone\":true}";
    return "{" + renderFields(Each) + "}";
  }

  static std::string renderFields(const Event &Each) {
    return "\"key\":\"" + Each.Key_ + "\",\"value\":\"" + base64(*Each.Value_) +
           "\",\"revision\":" + std::to_string(Each.Revision_) +
           ",\"created\":" + std::to_string(Each.Created_) + ",\"lease\":0";
  }

  /// State of all keys at a moment, and the revision. Requires Mutex_.
  std::map<std::string, Event> stateAt(double At, std::uint64_t &Revision) {
    std::map<std::string, Event> Items;
    Revision = 1;
    for (const Event &Each : Events_) {
      if (Each.At_ > At)
        break;
      Revision = Each.Revision_;
      if (Each.Value_)
        Items[Each.Key_] = Each;
      else
        Items.erase(Each.Key_);
    }
    return Items;
  }

  void serve(int Handle) {
    std::string Rest;
    while (auto Request = readMessage(Handle, Rest, now() + 100)) {
      std::string Target = Request->word(1);
      ++Calls_;
      int Status = 200;
      bool HasEvents = false;
      bool Cut = false;
      std::string Body;
      if (Target.starts_with("/kv-watch"))
        Body = watch(Target, HasEvents, Cut);
      else
        Body = read(Target, Status);
      if (Cut)
        return;
      sleepFor(0.004);
      if (Lose_ && Lose_(Target, HasEvents)) {
        Log_.line("store: answer lost: " + Target);
        char Byte = 0;
        while (::recv(Handle, &Byte, 1, 0) > 0) {
        }
        return;
      }
      if (Answered_)
        Answered_();
      if (!sendAll(Handle, "HTTP/1.1 " + std::to_string(Status) +
                               (Status == 200 ? " OK" : " Not Found") +
                               "\r\nContent-Type: application/json"
                               "\r\nContent-Length: " +
                               std::to_string(Body.size()) + "\r\n\r\n" + Body))
        return;
    }
  }

  std::string read(const std::string &Target, int &Status) {
    std::lock_guard Lock(Mutex_);
    bool Stale = queryValue(Target, "is_stale") == "1";
    std::uint64_t Revision = 0;
    auto Items = stateAt(Stale ? now() - StaleBy_ : now(), Revision);
    std::string At = "\"at\":" + std::to_string(Revision);
    if (Target.starts_with("/kv-key")) {
      auto Position = Items.find(queryValue(Target, "key"));
      if (Position == Items.end()) {
        Status = 404;
        return "{" + At + "}";
      }
      return "{" + renderFields(Position->second) + "," + At + "}";
    }
    std::string Prefix = queryValue(Target, "prefix");
    std::string After = queryValue(Target, "after");
    std::string List;
    bool HasMore = false;
    for (const auto &[Key, Item] : Items) {
      if (!Key.starts_with(Prefix) || Key <= After)
        continue;
      std::string Text = render(Item);
      // A page has at most about 1 MB.
      if (!List.empty() && List.size() + Text.size() > PageBytes_) {
        HasMore = true;
        break;
      }
      List += (List.empty() ? "" : ",") + Text;
    }
    return "{\"items\":[" + List +
           "],\"has_more\":" + (HasMore ? "true," : "false,") + At + "}";
  }

  std::string watch(const std::string &Target, bool &HasEvents, bool &Cut) {
    std::uint64_t After = std::stoull("0" + queryValue(Target, "after"));
    std::string Prefix = queryValue(Target, "prefix");
    double Until =
        now() + std::stod("0" + queryValue(Target, "wait_ms")) / 1000;
    std::unique_lock Lock(Mutex_);
    const int CutsBefore = Cuts_;
    std::string List;
    while (true) {
      Cut = Cuts_ != CutsBefore;
      for (const Event &Each : Events_)
        if (Each.Revision_ > After && Each.Key_.starts_with(Prefix))
          List += (List.empty() ? "" : ",") + render(Each);
      if (Cut || !List.empty() || now() >= Until)
        break;
      Changed_.wait_for(Lock, std::chrono::duration<double>(Until - now()));
    }
    HasEvents = !List.empty();
    return "{\"events\":[" + List + "],\"at\":" + std::to_string(Revision_) +
           "}";
  }

  Record &Log_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<Event> Events_;
  std::uint64_t Revision_ = 100;
  int Cuts_ = 0;
  std::atomic<int> Calls_ = 0;
  static constexpr std::size_t PageBytes_ = 1'000'000;
  Server Server_;
};

// Machines.

/// Addresses and ports of a deployment. Each machine has a loopback address of
/// its own, and the ports are the same on all machines.
struct Plan {
  std::string Network_;
  int Port_ = 0;

  /// Chooses ports that are free on the addresses of all machines.
  static std::optional<Plan> choose(int Machines) {
    std::random_device Device;
    for (int Try = 0; Try < 50; ++Try) {
      Plan Chosen;
      Chosen.Network_ = "127." + std::to_string(16 + Device() % 200) + "." +
                        std::to_string(1 + Device() % 250) + ".";
      Chosen.Port_ = 20000 + static_cast<int>(Device() % 10000);
      bool Free = true;
      for (int Machine = 0; Free && Machine < Machines; ++Machine)
        for (int Offset : {0, 15, 24, 25, 28, 29}) {
          int Handle = openListener(Chosen.ip(Machine), Chosen.Port_ + Offset);
          Free = Free && Handle >= 0;
          if (Handle >= 0)
            ::close(Handle);
        }
      if (Free)
        return Chosen;
    }
    return std::nullopt;
  }

  std::string ip(int Machine) const {
    return Network_ + std::to_string(41 + Machine);
  }
  std::string storeIp() const { return Network_ + "7"; }
  int storePort() const { return Port_ + 27; }
  int peerPort() const { return Port_; }
  int adminPort() const { return Port_ + 15; }
  int readyPort() const { return Port_ + 25; }
  int appPort() const { return Port_ + 28; }
  int outboundPort() const { return Port_ + 29; }
};

/// A worker that has run a request.
struct Run {
  double At_ = 0;
  std::string Id_;
  std::string Worker_;
  std::string Service_;
  std::string Path_;
  /// The caller's service as the system stated it; empty if it did not.
  std::string Caller_;
};

/// What all workers have run.
class Ledger {
public:
  void add(Run Entry) {
    std::lock_guard Lock(Mutex_);
    Runs_.push_back(std::move(Entry));
  }
  std::vector<Run> runs() {
    std::lock_guard Lock(Mutex_);
    return Runs_;
  }

private:
  std::mutex Mutex_;
  std::vector<Run> Runs_;
};

/// An application worker and its entry in the store.
class Worker {
public:
  Worker(Plan Place, int Machine, std::string Service, std::string Id,
         Store &Platform, Ledger &Runs, Record &Log)
      : Place_(std::move(Place)), Machine_(Machine),
        Service_(std::move(Service)), Id_(std::move(Id)), Platform_(Platform),
        Runs_(Runs), Log_(Log) {}

  double WorkS_ = 0.05;
  std::string Zone_ = "quito";
  int Slots_ = 9;
  /// Bytes that are added to each body.
  std::size_t AddedBytes_ = 0;
  /// Draws the size of a body; empty for AddedBytes_.
  std::function<std::size_t()> DrawBytes_;
  /// Requests with this path end the worker when it begins to run them.
  std::string Poison_;
  /// Time after which a crashed worker is back; it starts as the caller of
  /// crash wishes.
  std::function<void()> OnPoison_;

  const std::string &id() const { return Id_; }
  int machine() const { return Machine_; }

  /// Starts and registers. Born is the Unix time of the start in milliseconds
  /// as the clock of the machine shows it.
  bool start(std::int64_t Born) {
    Born_ = Born;
    Sequence_ = 1;
    Crashing_ = false;
    if (!Server_.start(Place_.ip(Machine_), Place_.appPort(),
                       [this](int Handle) { serve(Handle); }))
      return false;
    Log_.line("worker " + Id_ + " starts, born " + std::to_string(Born));
    report("ready");
    return true;
  }

  /// Writes the entry; the return is the ack of the store.
  void report(const std::string &State) {
    Platform_.put("servers/" + Id_,
                  "{\"address\":\"" + Place_.ip(Machine_) + ":" +
                      std::to_string(Place_.appPort()) + "\",\"born\":" +
                      std::to_string(Born_) + ",\"info\":{\"service\":\"" +
                      Service_ + "\",\"version\":\"v1\",\"zone\":\"" + Zone_ +
                      "\",\"capacity\":" + std::to_string(Slots_) +
                      "},\"status\":{\"state\":\"" + State +
                      "\",\"sequence\":" + std::to_string(Sequence_++) +
                      ",\"cold_left_s\":0}}");
    Log_.line("store: ack of " + Id_ + " " + State);
  }

  /// Ends without a word.
  void crash() {
    Server_.stop();
    Log_.line("worker " + Id_ + " crashed");
  }

  /// Leaves the store and ends.
  void leave() {
    Platform_.remove("servers/" + Id_);
    Server_.stop();
    Log_.line("worker " + Id_ + " left");
  }

private:
  void serve(int Handle) {
    std::string Rest;
    while (auto Request = readMessage(Handle, Rest, now() + 20)) {
      std::string Id = Request->header("marigolddale-request-id");
      std::string Path = Request->word(1);
      std::string Head = "\r\nMarigolddale-Request-Id: " + Id;
      std::string Expected = Request->header("marigolddale-expect-instance");
      std::string Answer;
      if (!Expected.empty() && Expected != Id_) {
        Answer = "HTTP/1.1 421 Misdirected Request" + Head +
                 "\r\nMarigolddale-Instance-Id: " + Id_ +
                 "\r\nContent-Length: 0\r\n\r\n";
        Log_.line("worker " + Id_ + " 421 " + Id);
      } else {
        Runs_.add({now(), Id, Id_, Service_, Path,
                   Request->header("marigolddale-caller-service")});
        Log_.line("worker " + Id_ + " runs " + Id + " " + Path + " of caller " +
                  Request->header("marigolddale-caller-service"));
        if (!Poison_.empty() && Path == Poison_) {
          if (!Crashing_.exchange(true))
            OnPoison_();
          return;
        }
        sleepFor(WorkS_);
        std::string Body = "done " + Id + " by " + Id_ + "\n";
        Body.append(DrawBytes_ ? DrawBytes_() : AddedBytes_, 'p');
        Answer = "HTTP/1.1 200 OK" + Head +
                 "\r\nMarigolddale-Response-Stamp: " + Id_ + "." + Id +
                 "\r\nMarigolddale-Server-Load: 1,0," + std::to_string(Slots_) +
                 "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
                 std::to_string(Body.size()) + "\r\n\r\n" + Body;
      }
      if (!sendAll(Handle, Answer))
        return;
    }
  }

  const Plan Place_;
  const int Machine_;
  const std::string Service_;
  const std::string Id_;
  Store &Platform_;
  Ledger &Runs_;
  Record &Log_;
  std::int64_t Born_ = 0;
  std::uint64_t Sequence_ = 1;
  /// A request that crashes the worker has begun to run.
  std::atomic<bool> Crashing_ = false;
  Server Server_;
};

/// The process of a node, started with the command of the deploy file and with
/// settings from the deploy file's template.
class Node {
public:
  Node(Plan Place, int Machine, std::string Service, std::string Folder,
       Record &Log)
      : Place_(std::move(Place)), Machine_(Machine),
        Service_(std::move(Service)), Folder_(std::move(Folder)), Log_(Log) {}
  ~Node() {
    if (Pid_ > 0) {
      ::kill(Pid_, SIGKILL);
      ::waitpid(Pid_, nullptr, 0);
    }
  }

  std::string LinkMbps_ = "1000.0";
  std::string GraceS_ = "6";
  std::string Zone_ = "quito";

  pid_t pid() const { return Pid_; }

  /// Must be called on the main thread.
  bool start() {
    std::string Settings =
        Folder_ + "/settings-" + std::to_string(Machine_) + ".conf";
    std::ofstream(Settings) << render();
    std::string Output = Folder_ + "/node-" + std::to_string(Machine_) + ".out";
    std::string Variable = "MARIGOLDDALE_CONFIG=" + Settings;
    pid_t Parent = ::getpid();
    Pid_ = ::fork();
    if (Pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != Parent)
        ::_exit(127);
      int Handle = ::open(Output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(Handle, 1);
      ::dup2(Handle, 2);
      const char *Arguments[] = {"target/bin/marigold-sidecar", nullptr};
      const char *Variables[] = {Variable.c_str(), nullptr};
      ::execve(Arguments[0], const_cast<char *const *>(Arguments),
               const_cast<char *const *>(Variables));
      ::_exit(127);
    }
    Log_.line("node " + std::to_string(Machine_) + " starts");
    return Pid_ > 0;
  }

  /// Writes the settings file anew, for another service.
  void rename(const std::string &Service) {
    Service_ = Service;
    std::string Settings =
        Folder_ + "/settings-" + std::to_string(Machine_) + ".conf";
    std::ofstream(Settings + ".new") << render();
    std::filesystem::rename(Settings + ".new", Settings);
    Log_.line("settings of machine " + std::to_string(Machine_) +
              " now name the service " + Service);
  }

  void signal(int Number) {
    ::kill(Pid_, Number);
    Log_.line("node " + std::to_string(Machine_) + " gets signal " +
              std::to_string(Number));
  }

  /// Whether the process still runs.
  bool runs() {
    if (Pid_ > 0 && ::waitpid(Pid_, nullptr, WNOHANG) == Pid_) {
      Pid_ = -1;
      Log_.line("node " + std::to_string(Machine_) + " has ended");
    }
    return Pid_ > 0;
  }

  /// SIGTERM, and SIGKILL after the grace; returns when the process has ended.
  void stop() {
    signal(SIGTERM);
    double Until = now() + std::stod(GraceS_);
    while (runs() && now() < Until)
      sleepFor(0.02);
    if (Pid_ > 0) {
      signal(SIGKILL);
      while (runs())
        sleepFor(0.01);
    }
  }

private:
  std::string render() const {
    std::ifstream In("deploy/settings.conf");
    std::stringstream Text;
    Text << In.rdbuf();
    std::string Ip = Place_.ip(Machine_);
    auto At = [&](int Port) { return Ip + ":" + std::to_string(Port); };
    const std::map<std::string, std::string> Values = {
        {"ip", Ip},
        {"port_range.0", std::to_string(Place_.peerPort())},
        {"port_range.1", std::to_string(Place_.adminPort())},
        {"bind.outbound", At(Place_.outboundPort())},
        {"bind.inbound", At(Place_.Port_ + 24)},
        {"bind.ready", At(Place_.readyPort())},
        {"app_addr", At(Place_.appPort())},
        {"service", Service_},
        {"zone", Zone_},
        {"region", "sierra"},
        {"platform.address",
         Place_.storeIp() + ":" + std::to_string(Place_.storePort())},
        {"bounds.grace_s", GraceS_},
        {"limits.link_mbps", LinkMbps_}};
    std::string Out = Text.str();
    for (const auto &[Name, Value] : Values) {
      std::string Place = "{{" + Name + "}}";
      for (std::size_t Found = 0;
           (Found = Out.find(Place, Found)) != std::string::npos;)
        Out.replace(Found, Place.size(), Value);
    }
    return Out;
  }

  const Plan Place_;
  const int Machine_;
  std::string Service_;
  const std::string Folder_;
  Record &Log_;
  pid_t Pid_ = -1;
};

// Clients.

struct Answer {
  /// 0: the connection ended, or could not be opened, without an answer; -1:
  /// the time limit passed.
  int Status_ = 0;
  std::string Stamp_;
  double SentAt_ = 0;
  double EndedAt_ = 0;
  double RetryAfter_ = 0;
};

/// Sends one request on a new connection to the outbound address of a machine.
inline Answer sendRequest(const Plan &Place, int Machine, Record &Log,
                          const std::string &Id, const std::string &Method,
                          const std::string &Host, const std::string &Path,
                          int DeadlineMs, const std::string &Body = {}) {
  Answer Result;
  Result.SentAt_ = now();
  int Handle = connectTo(Place.ip(Machine), Place.outboundPort());
  if (Handle >= 0) {
    std::string Text =
        Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
        "\r\nMarigolddale-Request-Id: " + Id +
        "\r\nMarigolddale-Deadline-Ms: " + std::to_string(DeadlineMs) + "\r\n";
    if (Method != "GET")
      Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    bool Sent = sendAll(Handle, Text + "\r\n" + Body);
    std::string Rest;
    double Until = Result.SentAt_ + DeadlineMs / 1000.0;
    if (auto Reply = readMessage(Handle, Rest, Until)) {
      Result.Status_ = std::atoi(Reply->word(1).c_str());
      Result.Stamp_ = Reply->header("marigolddale-response-stamp");
      Result.RetryAfter_ =
          std::atof(("0" + Reply->header("retry-after")).c_str());
    } else if (now() >= Until) {
      Result.Status_ = -1;
    }
    (void)Sent;
    ::close(Handle);
  }
  Result.EndedAt_ = now();
  Log.line("client at " + std::to_string(Machine) + " " + Id + " " + Method +
           " " + Path + " -> " + std::to_string(Result.Status_) + " after " +
           std::to_string(
               static_cast<int>((Result.EndedAt_ - Result.SentAt_) * 1000)) +
           " ms");
  return Result;
}

/// Status of the answer to the platform's question for readiness.
inline int askReady(const Plan &Place, int Machine) {
  int Handle = connectTo(Place.ip(Machine), Place.readyPort());
  if (Handle < 0)
    return 0;
  sendAll(Handle, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
  std::string Rest;
  auto Reply = readMessage(Handle, Rest, now() + 1);
  ::close(Handle);
  return Reply ? std::atoi(Reply->word(1).c_str()) : 0;
}

inline bool awaitReady(const Plan &Place, int Machine, double Seconds) {
  for (double Until = now() + Seconds; now() < Until; sleepFor(0.1))
    if (askReady(Place, Machine) == 200)
      return true;
  return false;
}

/// A folder under /tmp that is removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder() {
    char Name[] = "/tmp/review-2-XXXXXX";
    Path_ = ::mkdtemp(Name);
  }
  void remove() const {
    if (!std::getenv("KEEP"))
      std::filesystem::remove_all(Path_);
  }
  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

} // namespace rig
