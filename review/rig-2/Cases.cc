#include "Cases.h"

#include <array>
#include <cmath>

namespace rig {
namespace {

constexpr double ContactS = 3;
constexpr double ApplyS = 2;
constexpr double DrainS = 2;

std::string text(double Value) {
  char Out[32];
  std::snprintf(Out, sizeof(Out), "%.2f", Value);
  return Out;
}

/// CONFIG: the answers of two watches are lost, while stale reads are seconds
/// old.
int staleProbe(Record &Log, bool Disturb) {
  Deployment &Site = deploy(Log, 2);
  Site.Platform_.StaleBy_ = 5;
  // The losses: only answers of the store with the change, for LossS seconds.
  std::mutex Mutex;
  double LossUntil = -1;
  double LastLost = -1;
  int Lost = 0;
  int Given = 0;
  double LossFrom = 1e9;
  Site.Platform_.Lose_ = [&](const std::string &Target, bool HasEvents) {
    std::lock_guard Lock(Mutex);
    if (!Target.starts_with("/kv-watch") || !HasEvents || now() > LossUntil)
      return false;
    ++Lost;
    LastLost = now();
    return true;
  };
  Site.Platform_.Answered_ = [&] {
    std::lock_guard Lock(Mutex);
    if (now() >= LossFrom && now() <= LossUntil)
      ++Given;
  };
  Site.add("wuno96b");
  Site.add("kafi81c");
  const std::vector<std::string> Services = {"wuno96b", "kafi81c"};
  Site.Platform_.put(
      "op/config",
      configText("r7", Site.Host_, {{"/lepu270/", "wuno96b"}}, Services));
  Site.startWorkers();
  Site.startNodes();
  // The workers have been there for longer than stale reads are old.
  sleepUntil(now() + 8);

  // Lost are the answers of a span that begins a second before the change.
  LossFrom = now();
  if (Disturb) {
    std::lock_guard Lock(Mutex);
    LossUntil = now() + 1.2;
  }
  sleepFor(1.0);
  Site.Platform_.put(
      "op/config",
      configText("r9", Site.Host_, {{"/lepu270/", "kafi81c"}}, Services));
  double Ack = now();
  Log.line("store: ack of the configuration r9; /lepu270/ now goes to kafi81c");

  struct Sent {
    double At_;
    std::string Id_;
  };
  std::vector<Sent> Requests;
  for (double Until = Ack + 14; now() < Until; sleepFor(0.1))
    for (int Machine = 0; Machine < 2; ++Machine) {
      Requests.push_back({now(), Site.newId()});
      Site.get(Machine, Requests.back().Id_, "/lepu270/2f");
    }
  double Calm = Ack + ApplyS;
  {
    std::lock_guard Lock(Mutex);
    if (Disturb)
      Calm = std::max(Calm, LossUntil + ContactS);
    Log.line("answers of the store lost " + std::to_string(Lost) + ", given " +
             std::to_string(Given) +
             " in that time; machines in touch and "
             "bound by r9 from " +
             text(Calm - Ack) + " s after the ack");
  }
  std::map<std::string, double> SentAt;
  for (const Sent &Each : Requests)
    SentAt[Each.Id_] = Each.At_;
  int Old = 0;
  int New = 0;
  double First = 0;
  double Last = 0;
  for (const Run &Each : Site.Runs_.runs()) {
    auto Position = SentAt.find(Each.Id_);
    if (Position == SentAt.end() || Position->second <= Calm)
      continue;
    if (Each.Service_ == "kafi81c") {
      ++New;
      continue;
    }
    if (Old++ == 0)
      First = Position->second - Ack;
    Last = Position->second - Ack;
  }
  Log.line("requests sent since then: run by the old service " +
           std::to_string(Old) + " (sent " + text(First) + " to " + text(Last) +
           " s after the ack), by the new one " + std::to_string(New));
  Site.finish();
  if (Old + New == 0)
    return 2;
  return Old > 0 ? 1 : 0;
}

/// DRAIN: a worker that started again under its id while the clock of its
/// machine had been set back is not seen to leave.
int bornEarlier(Record &Log, bool Disturb) {
  Deployment &Site = deploy(Log, 3);
  for (int Machine = 0; Machine < 3; ++Machine)
    Site.add("huvo11a");
  Site.Platform_.put(
      "op/config",
      configText("r7", Site.Host_, {{"/lepu270/", "huvo11a"}}, {"huvo11a"}));
  Site.startWorkers();
  Site.startNodes();
  sleepFor(3);
  Worker &Restarted = *Site.Workers_[0];
  // The clock of machine 0 is 2.4 s ahead for six seconds. Its worker is
  // restarted in this time and once more just after the end of it.
  constexpr std::int64_t StepMs = 2400;
  if (Disturb)
    Log.line("clock of machine 0 steps ahead");
  Restarted.crash();
  sleepFor(0.5);
  Restarted.start(wallMs() + (Disturb ? StepMs : 0));
  sleepFor(0.4);
  Restarted.crash();
  if (Disturb)
    Log.line("clock of machine 0 steps back");
  sleepFor(0.5);
  Restarted.start(wallMs());

  std::atomic<bool> End = false;
  struct Sent {
    double At_;
    std::string Id_;
  };
  std::mutex Mutex;
  std::vector<Sent> Requests;
  std::vector<std::thread> Clients;
  for (int Machine = 0; Machine < 3; ++Machine)
    Clients.emplace_back([&, Machine] {
      for (; !End; sleepFor(0.05)) {
        std::string Id = Site.newId();
        {
          std::lock_guard Lock(Mutex);
          Requests.push_back({now(), Id});
        }
        Site.get(Machine, Id, "/lepu270/2f");
      }
    });
  sleepFor(8);
  Restarted.report("draining");
  double Ack = now();
  sleepFor(8);
  Restarted.leave();
  sleepFor(1);
  End = true;
  for (std::thread &Each : Clients)
    Each.join();
  std::map<std::string, double> SentAt;
  for (const Sent &Each : Requests)
    SentAt[Each.Id_] = Each.At_;
  int Late = 0;
  int Early = 0;
  for (const Run &Each : Site.Runs_.runs())
    if (Each.Worker_ == Restarted.id())
      ++(Each.At_ > Ack + DrainS ? Late : Early);
  Log.line("requests that reached the leaving worker later than " +
           text(DrainS) + " s after the ack: " + std::to_string(Late) +
           "; before: " + std::to_string(Early));
  Site.finish();
  if (Early == 0)
    return 2;
  return Late > 0 ? 1 : 0;
}

/// BUDGET: a request that crashes its workers, at a service with more workers
/// than a node tells of a crash. Not one of the five cases: the site would be
/// zinc-andes-large, not a small deployment. Without the disruption the service
/// has fewer workers.
int poisonMany(Record &Log, bool Disturb) {
  const int Machines = Disturb ? 80 : 60;
  Deployment &Site = deploy(Log, Machines);
  for (int Machine = 0; Machine < Machines; ++Machine)
    Site.add("huvo11a");
  Site.Platform_.put(
      "op/config",
      configText("r7", Site.Host_, {{"/lepu270/", "huvo11a"}}, {"huvo11a"}));
  const std::string Poison = "/lepu270/7c";
  std::mutex Mutex;
  std::vector<double> Crashes;
  std::vector<std::thread> Returns;
  for (auto &Each : Site.Workers_) {
    Each->Poison_ = Poison;
    Worker *Crashing = Each.get();
    Each->OnPoison_ = [&, Crashing] {
      std::lock_guard Lock(Mutex);
      Crashes.push_back(now());
      Returns.emplace_back([Crashing] {
        Crashing->crash();
        sleepFor(1.5);
        Crashing->start(wallMs());
      });
    };
  }
  Site.startWorkers();
  Site.startNodes();
  sleepFor(6);
  std::map<std::string, double> SentAt;
  int Turn = 0;
  for (double Until = now() + 40; now() < Until; sleepFor(0.1)) {
    std::string Id = Site.newId();
    SentAt[Id] = now();
    Site.get(Turn++ % Machines, Id, Poison, 3000);
  }
  sleepFor(2);
  double Third = 1e9;
  {
    std::lock_guard Lock(Mutex);
    if (Crashes.size() >= 3)
      Third = Crashes[2];
  }
  std::set<std::string> Late;
  for (const Run &Each : Site.Runs_.runs())
    if (SentAt.contains(Each.Id_) && SentAt[Each.Id_] > Third + ContactS)
      Late.insert(Each.Id_);
  for (std::thread &Each : Returns)
    Each.join();
  Log.line("workers " + std::to_string(Machines) + "; sent " +
           std::to_string(SentAt.size()) + "; crashes " +
           std::to_string(Crashes.size()) +
           "; retries that reached workers later than " + text(ContactS) +
           " s after the third: " + std::to_string(Late.size()));
  Site.finish();
  return Late.size() > 3 ? 1 : 0;
}

/// BUDGET: a request that crashes its workers, while the nodes are stopped and
/// started in turn.
int poisonAndRoll(Record &Log, bool Disturb) {
  constexpr int Machines = 4;
  Deployment &Site = deploy(Log, Machines);
  for (int Machine = 0; Machine < Machines; ++Machine)
    Site.add("huvo11a");
  Site.Platform_.put(
      "op/config",
      configText("r7", Site.Host_, {{"/lepu270/", "huvo11a"}}, {"huvo11a"}));
  const std::string Poison = "/lepu270/7c";
  std::mutex Mutex;
  std::vector<double> Crashes;
  std::vector<std::thread> Returns;
  for (auto &Each : Site.Workers_) {
    Each->Poison_ = Poison;
    Worker *Crashing = Each.get();
    Each->OnPoison_ = [&, Crashing] {
      std::lock_guard Lock(Mutex);
      Crashes.push_back(now());
      Returns.emplace_back([Crashing] {
        Crashing->crash();
        sleepFor(1.5);
        Crashing->start(wallMs());
      });
    };
  }
  Site.startWorkers();
  Site.startNodes();
  sleepFor(3);

  std::array<std::atomic<double>, Machines> TouchFrom{};
  std::atomic<bool> End = false;
  std::map<std::string, int> SentAt;
  std::set<std::string> InTouch;
  std::vector<std::thread> Clients;
  // The request comes again, at any machine that is in touch.
  Clients.emplace_back([&] {
    for (int Turn = 0; !End; ++Turn) {
      int Machine = Turn % Machines;
      if (TouchFrom[static_cast<std::size_t>(Machine)] > now())
        continue;
      std::string Id = Site.newId();
      {
        std::lock_guard Lock(Mutex);
        InTouch.insert(Id);
      }
      Site.get(Machine, Id, Poison, 3000);
      sleepFor(0.3);
    }
  });
  // Harmless requests; each has a path of its own.
  std::atomic<int> Harmless = 0;
  std::atomic<int> Failed = 0;
  for (int Machine = 0; Machine < Machines; ++Machine)
    Clients.emplace_back([&, Machine] {
      for (; !End; sleepFor(0.1)) {
        if (TouchFrom[static_cast<std::size_t>(Machine)] > now())
          continue;
        std::string Id = Site.newId();
        ++Harmless;
        if (Site.get(Machine, Id, "/lepu270/h" + Id).Status_ != 200)
          ++Failed;
      }
    });
  sleepFor(12);
  // Planned work: each node in turn is stopped and started again.
  for (int Machine = 0; Machine < Machines; ++Machine) {
    if (Disturb) {
      auto Index = static_cast<std::size_t>(Machine);
      TouchFrom[Index] = 1e9;
      Site.Nodes_[Index]->stop();
      if (!Site.Nodes_[Index]->start() ||
          !awaitReady(Site.Place_, Machine, 8)) {
        Log.line("a node does not come back");
        End = true;
        break;
      }
      TouchFrom[Index] = now() + ContactS;
    }
    sleepFor(Disturb ? 6 : 11);
  }
  sleepFor(2);
  End = true;
  for (std::thread &Each : Clients)
    Each.join();
  {
    std::lock_guard Lock(Mutex);
    for (std::thread &Each : Returns)
      Each.join();
  }
  std::vector<double> Sorted = Crashes;
  std::sort(Sorted.begin(), Sorted.end());
  double From = Sorted.size() >= 3 ? Sorted[2] + ContactS : 1e9;
  int Late = 0;
  for (const Run &Each : Site.Runs_.runs())
    if (Each.Path_ == Poison && InTouch.contains(Each.Id_) && Each.At_ > From)
      ++Late;
  Log.line("crashes: " + std::to_string(Sorted.size()) +
           "; retries that reached workers later than " + text(ContactS) +
           " s after the third: " + std::to_string(Late));
  Log.line("harmless requests: " + std::to_string(Harmless) +
           ", not answered with success: " + std::to_string(Failed));
  Site.finish();
  if (Sorted.empty())
    return 2;
  return Late > 3 ? 1 : 0;
}

/// ROUTE: a host has the name of a service, and its route goes to the successor
/// of that service. Once the route is dropped, the node takes the host for the
/// service.
int droppedRoute(Record &Log, bool Disturb) {
  Deployment &Site = deploy(Log, 3);
  const std::string Former = "huvo11a";
  const std::string Successor = "kafi81c";
  for (const std::string &Service : {Former, Former, Successor})
    Site.add(Service);
  const std::vector<std::string> Services = {Former, Successor};
  // The former service keeps a route of another host. No configuration sends
  // requests of the host that has its name to it.
  auto Text = [&](const std::string &Version, bool WithRoute) {
    std::string Whole = configText(
        Version, Site.Host_, {{"/lepu270/", Former, "idempotent"}}, Services);
    if (!WithRoute)
      return Whole;
    std::string Entry =
        "\"r-9\":{\"host\":\"" + Former +
        "\",\"prefix\":\"/xapu221/\",\"kind\":\"non_idempotent\","
        "\"timeout_s\":3.0,\"goal_latency_s\":0.5,\"priority\":1,"
        "\"service\":\"" +
        Successor + "\",\"attempts\":2},";
    return Whole.insert(Whole.find("\"r-0\""), Entry);
  };
  Site.Platform_.put("op/config", Text("r7", true));
  Site.startWorkers();
  Site.startNodes();
  sleepFor(3);
  double Ack = 1e9;
  std::map<std::string, double> SentAt;
  std::map<int, int> Statuses;
  auto Book = [&](double Seconds) {
    for (double Until = now() + Seconds; now() < Until; sleepFor(0.2))
      for (int Machine = 0; Machine < 3; ++Machine) {
        std::string Id = Site.newId();
        SentAt[Id] = now();
        ++Statuses[sendRequest(Site.Place_, Machine, Log, Id, "POST", Former,
                               "/xapu221/2f", 3000, "one visit, please")
                       .Status_];
      }
  };
  Book(4);
  if (Disturb) {
    Site.Platform_.put("op/config", Text("r9", false));
    Ack = now();
    Log.line("store: ack of the configuration r9, without the route of host " +
             Former);
  }
  Book(10);
  int Foreign = 0;
  int Dropped = 0;
  int Unnamed = 0;
  int Proper = 0;
  for (const Run &Each : Site.Runs_.runs()) {
    auto Position = SentAt.find(Each.Id_);
    if (Position == SentAt.end())
      continue;
    ++(Each.Service_ == Successor ? Proper : Foreign);
    Dropped += Position->second > Ack + ApplyS ? 1 : 0;
    Unnamed += Each.Caller_.empty() ? 1 : 0;
  }
  for (auto [Status, Count] : Statuses)
    Log.line("answers with status " + std::to_string(Status) + ": " +
             std::to_string(Count));
  Log.line("run by the service of the route: " + std::to_string(Proper) +
           "; by the service that no configuration allows: " +
           std::to_string(Foreign));
  Log.line("run later than " + text(ApplyS) +
           " s after the ack of the drop: " + std::to_string(Dropped) +
           "; run without a caller's service: " + std::to_string(Unnamed));
  Site.finish();
  if (Proper == 0)
    return 2;
  return Foreign > 0 ? 1 : 0;
}

/// UNASKED: the address of a worker goes to another service, the settings
/// change without a signal, and requests of the machine bear the old service's
/// name.
int renamedCaller(Record &Log, bool Disturb) {
  Deployment &Site = deploy(Log, 2);
  Site.add("huvo11a");
  Site.add("wuno96b");
  Site.Platform_.put("op/config",
                     configText("r7", Site.Host_, {{"/lepu270/", "wuno96b"}},
                                {"huvo11a", "wuno96b", "kafi81c"}));
  Site.startWorkers();
  Site.startNodes();
  sleepFor(3);
  double Changed = now();
  std::string Service = "huvo11a";
  std::unique_ptr<Worker> Next;
  if (Disturb) {
    Site.Workers_[0]->report("draining");
    sleepFor(3);
    Site.Workers_[0]->leave();
    // reuse_after_s is 2 s.
    sleepFor(2.5);
    Service = "kafi81c";
    Site.Nodes_[0]->rename(Service);
    Changed = now();
    Next = std::make_unique<Worker>(Site.Place_, 0, Service, "i-next",
                                    Site.Platform_, Site.Runs_, Log);
    Next->start(wallMs());
  }
  std::map<std::string, double> SentAt;
  for (double Until = now() + 5; now() < Until; sleepFor(0.05)) {
    std::string Id = Site.newId();
    SentAt[Id] = now();
    Site.get(0, Id, "/lepu270/2f");
  }
  int Wrong = 0;
  int Right = 0;
  double Last = 0;
  for (const Run &Each : Site.Runs_.runs()) {
    auto Position = SentAt.find(Each.Id_);
    if (Position == SentAt.end())
      continue;
    if (Each.Caller_ == Service) {
      ++Right;
      continue;
    }
    ++Wrong;
    Last = std::max(Last, Position->second - Changed);
  }
  Log.line("requests run with another caller's service: " +
           std::to_string(Wrong) + ", the last sent " + text(Last) +
           " s after the change of the settings; with the right one: " +
           std::to_string(Right));
  Site.finish();
  if (Right == 0)
    return 2;
  return Wrong > 0 ? 1 : 0;
}

/// LOST: a node that is stopped as planned breaks off bookings at work. Its
/// connection to another node is closed when a booking with a longer body is
/// overtaken by one with a shorter body.
int overtaken(Record &Log, bool Disturb) {
  constexpr double WorkS = 0.31;
  constexpr double GraceS = 6;
  constexpr int LimitMs = 3000;
  constexpr std::size_t ShortBytes = 4000;
  constexpr std::size_t LongBytes = 20000;
  const std::string Packets = "fiwu21b";
  const std::string Desk = "volo44a";
  const std::string Calendar = "jeye17c";
  Deployment &Site = deploy(Log, 3);
  for (const std::string &Service : {Packets, Desk, Calendar}) {
    Site.add(Service);
    Site.Workers_.back()->Slots_ = 16;
    Site.Nodes_.back()->LinkMbps_ = "18.5";
  }
  Site.Workers_[0]->WorkS_ = 0.19;
  Site.Workers_[0]->AddedBytes_ = 280000;
  Site.Workers_[1]->WorkS_ = WorkS;
  Site.Platform_.put("op/config",
                     configText("r7", Site.Host_,
                                {{"/xapu221/", Desk, "non_idempotent"},
                                 {"/fiti832/", Packets, "download", 4}},
                                {Packets, Desk, Calendar}));
  Site.startWorkers();
  Site.startNodes();
  sleepFor(2);
  std::atomic<bool> End = false;
  std::atomic<bool> OutOfTurn = false;
  std::atomic<int> Packet = 0;
  std::atomic<double> LastLost = 0;
  std::mutex Mutex;
  std::map<std::string, Answer> Bookings;
  std::vector<std::thread> Clients;
  // Packets from the worker of machine 0 to clients of machine 2.
  for (int Client = 0; Client < 14; ++Client)
    Clients.emplace_back([&] {
      for (; !End; sleepFor(0.02))
        if (Site.get(2, Site.newId(), "/fiti832/2f", 4000).Status_ == 200)
          ++Packet;
    });
  // Bookings of clients of machine 0.
  for (int Client = 0; Client < 14; ++Client)
    Clients.emplace_back([&, Client] {
      for (; !End; sleepFor(0.1)) {
        if (OutOfTurn)
          continue;
        std::string Id = Site.newId();
        bool Long = Client < 3;
        Answer Got = sendRequest(
            Site.Place_, 0, Log, Id, "POST", Site.Host_, "/xapu221/2f", LimitMs,
            std::string(Long ? LongBytes : ShortBytes, 'b'));
        std::lock_guard Lock(Mutex);
        Bookings[Id] = Got;
        if (Got.Status_ == 502)
          LastLost = now();
      }
    });
  // The stop begins while packets are being sent: within 0.1 s of a booking
  // that failed, as happens without the stop too.
  sleepFor(6);
  for (double Until = now() + 20; now() < Until && now() > LastLost + 0.1;)
    sleepFor(0.01);
  double Stopped = now();
  // The platform asks each second; after two misses no client sends to the
  // machine.
  std::thread Platform([&] {
    for (int Misses = 0; !End; sleepFor(1)) {
      Misses = askReady(Site.Place_, 0) == 200 ? 0 : Misses + 1;
      if (Misses >= 2)
        OutOfTurn = true;
    }
  });
  if (Disturb)
    Site.Nodes_[0]->stop();
  else
    sleepFor(GraceS);
  End = true;
  for (std::thread &Each : Clients)
    Each.join();
  Platform.join();
  int Before = 0;
  int During = 0;
  std::map<std::string, int> Counts;
  for (const auto &[Id, Got] : Bookings)
    ++Counts[std::string(Got.EndedAt_ < Stopped ? "before" : "after") +
             " the stop, status " + std::to_string(Got.Status_)];
  for (const Run &Each : Site.Runs_.runs()) {
    auto Position = Bookings.find(Each.Id_);
    if (Position == Bookings.end())
      continue;
    const Answer &Got = Position->second;
    bool AtWork = Got.EndedAt_ > Each.At_ && Got.EndedAt_ < Each.At_ + WorkS &&
                  Got.EndedAt_ < Got.SentAt_ + LimitMs / 1000.0 - 0.1;
    if (Got.Status_ == 200 || !AtWork)
      continue;
    bool Planned = Disturb && Got.EndedAt_ > Stopped &&
                   Got.EndedAt_ < Stopped + GraceS * 5 / 6;
    ++(Planned ? During : Before);
    Log.line("broken off while its worker was at work: " + Each.Id_ +
             ", status " + std::to_string(Got.Status_) + ", " +
             text(Got.EndedAt_ - Stopped) + " s after the stop began");
  }
  for (const auto &[Name, Count] : Counts)
    Log.line("bookings answered " + Name + ": " + std::to_string(Count));
  Log.line("packets " + std::to_string(Packet) +
           "; bookings broken off at work during the planned stop: " +
           std::to_string(During) +
           "; at other times: " + std::to_string(Before));
  Site.finish();
  if (Packet == 0 || Bookings.empty())
    return 2;
  return During > 0 ? 1 : 0;
}

/// Resident memory of a process in megabytes; 0 if it has ended.
double residentMb(pid_t Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
  std::string Line;
  while (std::getline(In, Line))
    if (Line.starts_with("VmRSS:"))
      return std::atof(Line.c_str() + 6) / 1024;
  return 0;
}

/// No rule: clients leave while the answer is on its way between two nodes. The
/// rest of each such answer stays at the node of the worker for good, and the
/// node counts it as waiting for its link. Exit code 1: much less was served
/// after the clients had left than before.
int leftReplies(Record &Log, bool Disturb) {
  Deployment &Site = deploy(Log, 2);
  Site.add("jeye17c");
  Site.add("fiwu21b");
  for (auto &Each : Site.Nodes_)
    Each->LinkMbps_ = "18.5";
  Site.Workers_[0]->WorkS_ = 0.1;
  Site.Workers_[0]->AddedBytes_ = 400000;
  Site.Platform_.put("op/config",
                     configText("r7", Site.Host_,
                                {{"/fiti832/", "jeye17c", "download"}},
                                {"jeye17c", "fiwu21b"}));
  Site.startWorkers();
  Site.startNodes();
  sleepFor(2);
  // A client that stays asks four times a second; one in five that leave.
  auto Ask = [&](double Seconds, bool Leave) {
    int Served = 0;
    int Sent = 0;
    std::mt19937 Draw(7);
    for (double Until = now() + Seconds; now() < Until; sleepFor(0.1)) {
      ++Sent;
      if (!Leave || Sent % 5 != 0) {
        Served += Site.get(1, Site.newId(), "/fiti832/2f", 3000).Status_ == 200
                      ? 1
                      : 0;
        continue;
      }
      int Handle = connectTo(Site.Place_.ip(1), Site.Place_.outboundPort());
      sendAll(Handle, "GET /fiti832/2f HTTP/1.1\r\nHost: " + Site.Host_ +
                          "\r\nMarigolddale-Request-Id: " + Site.newId() +
                          "\r\nMarigolddale-Deadline-Ms: 3000\r\n\r\n");
      // Within half the objective.
      sleepFor(std::uniform_real_distribution<double>(0, 0.25)(Draw));
      ::close(Handle);
    }
    return std::make_pair(Served, Sent);
  };
  auto Before = Ask(10, false);
  double MbBefore = residentMb(Site.Nodes_[0]->pid());
  Ask(22, Disturb);
  sleepFor(ContactS);
  auto After = Ask(30, false);
  Log.line("served before " + std::to_string(Before.first) + " of " +
           std::to_string(Before.second) + ", after " +
           std::to_string(After.first) + " of " + std::to_string(After.second) +
           "; memory of the worker's node " + text(MbBefore) + " MB, then " +
           text(residentMb(Site.Nodes_[0]->pid())) + " MB");
  Site.finish();
  if (Before.first == 0)
    return 2;
  return After.first * Before.second * 4 < Before.first * After.second ? 1 : 0;
}

/// LOST: entries of another writer make the nodes read pages of the store
/// without end, until they exceed their memory.
int endlessPages(Record &Log, bool Disturb) {
  constexpr double MemoryMb = 260;
  constexpr int Machines = 3;
  Deployment &Site = deploy(Log, Machines);
  for (int Machine = 0; Machine < Machines; ++Machine) {
    Site.add("huvo11a");
    Site.Workers_.back()->WorkS_ = 0.16;
  }
  Site.Platform_.put(
      "op/config",
      configText("r7", Site.Host_, {{"/lepu270/", "huvo11a"}}, {"huvo11a"}));
  Site.startWorkers();
  Site.startNodes();
  sleepFor(3);
  std::atomic<bool> End = false;
  // Clients with kept connections: a request that reached a worker and got no
  // answer before its connection ended.
  std::mutex Mutex;
  std::vector<std::string> Unanswered;
  std::atomic<int> Served = 0;
  std::vector<std::thread> Clients;
  for (int Machine = 0; Machine < Machines; ++Machine)
    for (int Client = 0; Client < 4; ++Client)
      Clients.emplace_back([&, Machine] {
        while (!End) {
          int Handle =
              connectTo(Site.Place_.ip(Machine), Site.Place_.outboundPort());
          std::string Rest;
          for (bool Kept = false; Handle >= 0 && !End; Kept = true) {
            std::string Id = Site.newId();
            double Until = now() + 3;
            bool Sent = sendAll(
                Handle, "GET /lepu270/2f HTTP/1.1\r\nHost: " + Site.Host_ +
                            "\r\nMarigolddale-Request-Id: " + Id +
                            "\r\nMarigolddale-Deadline-Ms: 3000\r\n\r\n");
            auto Reply = Sent ? readMessage(Handle, Rest, Until) : std::nullopt;
            if (!Reply) {
              std::lock_guard Lock(Mutex);
              if (Kept && now() < Until)
                Unanswered.push_back(Id);
              break;
            }
            Served += Reply->word(1) == "200" ? 1 : 0;
            sleepFor(0.02);
          }
          if (Handle >= 0)
            ::close(Handle);
          sleepFor(0.1);
        }
      });
  sleepFor(3);
  if (Disturb)
    for (const char *Key : {"servers/r&d-7", "servers/r&d-8"}) {
      Site.Platform_.put(Key, std::string(600000, '\x07'));
      Log.line(std::string("store: another writer puts ") + Key +
               ", 600000 bytes that can't be read");
    }
  sleepFor(3);
  Site.Platform_.cutWatches();
  int CallsBefore = Site.Platform_.calls();
  std::array<int, Machines> Killed{};
  std::array<double, Machines> Peaks{};
  double Until = now() + 45;
  for (; now() < Until; sleepFor(0.02))
    for (std::size_t Machine = 0; Machine < Machines; ++Machine) {
      Node &Watched = *Site.Nodes_[Machine];
      double Mb = residentMb(Watched.pid());
      Peaks[Machine] = std::max(Peaks[Machine], Mb);
      if (Mb <= MemoryMb)
        continue;
      // The platform kills a process that exceeds memory_mb, and starts it
      // again after a short delay.
      Log.line("node " + std::to_string(Machine) + " has " + text(Mb) +
               " MB, more than " + text(MemoryMb));
      Watched.signal(SIGKILL);
      while (Watched.runs())
        sleepFor(0.005);
      ++Killed[Machine];
      sleepFor(0.2);
      if (!Watched.start())
        return 2;
    }
  End = true;
  for (std::thread &Each : Clients)
    Each.join();
  std::set<std::string> Passed;
  for (const Run &Each : Site.Runs_.runs())
    Passed.insert(Each.Id_);
  std::map<int, int> Lost;
  int Total = 0;
  for (const std::string &Id : Unanswered)
    Total += Passed.contains(Id) ? 1 : 0;
  for (std::size_t Machine = 0; Machine < Machines; ++Machine)
    Log.line("node " + std::to_string(Machine) + ": ended for its memory " +
             std::to_string(Killed[Machine]) + " times, peak " +
             text(Peaks[Machine]) + " MB");
  Log.line("calls of the store in 45 s: " +
           std::to_string(Site.Platform_.calls() - CallsBefore));
  Log.line("requests on kept connections that a worker ran and whose "
           "connection ended without an answer: " +
           std::to_string(Total) + "; served " + std::to_string(Served));
  Site.finish();
  if (Served == 0)
    return 2;
  return Total > 3 ? 1 : 0;
}

/// LOST: a node keeps the rest of each answer whose client gave up while it was
/// on its way to another node. After the configuration has grown by many
/// routes, the node exceeds its memory.
int keptAnswers(Record &Log, bool Disturb) {
  constexpr double MemoryMb = 88;
  constexpr int Routes = 400;
  constexpr int LimitMs = 4000;
  constexpr int ClientsEach = 56;
  const std::string Packets = "jeye17c";
  const std::string Calendar = "volo44a";
  Deployment &Site = deploy(Log, 3);
  for (const std::string &Service : {Packets, Calendar, Calendar}) {
    Site.add(Service);
    Site.Workers_.back()->Slots_ = 16;
    Site.Workers_.back()->WorkS_ = 0.19;
    Site.Nodes_.back()->LinkMbps_ = "18.5";
  }
  // The sizes of packets at the site: mean 280,000 bytes, at most 1,700,000.
  std::mutex Mutex;
  std::mt19937 Draw(7);
  std::lognormal_distribution<double> Sizes(std::log(280000) - 0.18, 0.6);
  Site.Workers_[0]->DrawBytes_ = [&] {
    std::lock_guard Lock(Mutex);
    return static_cast<std::size_t>(std::min(Sizes(Draw), 1700000.0));
  };
  std::vector<Route> Table = {{"/lepu270/", Calendar},
                              {"/fiti832/", Packets, "download", 4, 2, 0.8}};
  Site.Platform_.put("op/config",
                     configText("r7", Site.Host_, Table, {Packets, Calendar}));
  Site.startWorkers();
  Site.startNodes();
  sleepFor(2);
  std::atomic<int> Known = 1;
  std::atomic<bool> End = false;
  std::atomic<int> Served = 0;
  std::map<int, int> Statuses;
  std::vector<std::thread> Clients;
  // Packets for clients of the machines 1 and 2: 28 requests a second in all,
  // as many as a worker of this service has at the site.
  for (int Client = 0; Client < 2 * ClientsEach; ++Client)
    Clients.emplace_back([&, Client] {
      std::mt19937 Choice(static_cast<unsigned>(Client));
      constexpr double Period = LimitMs / 1000.0;
      sleepFor(Period * Client / (2 * ClientsEach));
      for (double Next = now(); !End; sleepUntil(Next += Period)) {
        int Number = static_cast<int>(Choice() % static_cast<unsigned>(Known));
        std::string Path = Number == 0
                               ? "/fiti832/2f"
                               : "/fiti" + std::to_string(Number) + "/2f";
        int Status =
            Site.get(1 + Client % 2, Site.newId(), Path, LimitMs - 50).Status_;
        std::lock_guard Lock(Mutex);
        ++Statuses[Status];
      }
    });
  // Lookups of clients of machine 0, on kept connections.
  std::vector<std::string> Unanswered;
  for (int Client = 0; Client < 8; ++Client)
    Clients.emplace_back([&] {
      while (!End) {
        int Handle = connectTo(Site.Place_.ip(0), Site.Place_.outboundPort());
        std::string Rest;
        for (bool Kept = false; Handle >= 0 && !End; Kept = true) {
          std::string Id = Site.newId();
          double Until = now() + 3;
          bool Sent = sendAll(
              Handle, "GET /lepu270/2f HTTP/1.1\r\nHost: " + Site.Host_ +
                          "\r\nMarigolddale-Request-Id: " + Id +
                          "\r\nMarigolddale-Deadline-Ms: 3000\r\n\r\n");
          auto Reply = Sent ? readMessage(Handle, Rest, Until) : std::nullopt;
          if (!Reply) {
            std::lock_guard Lock(Mutex);
            if (Kept && now() < Until)
              Unanswered.push_back(Id);
            break;
          }
          Served += Reply->word(1) == "200" ? 1 : 0;
          sleepFor(0.02);
        }
        if (Handle >= 0)
          ::close(Handle);
        sleepFor(0.1);
      }
    });
  sleepFor(10);
  if (Disturb) {
    for (int Number = 1; Number <= Routes; ++Number)
      Table.push_back({"/fiti" + std::to_string(Number) + "/", Packets,
                       "download", 4, 2, 0.8});
    Site.Platform_.put(
        "op/config", configText("r9", Site.Host_, Table, {Packets, Calendar}));
    Log.line("store: ack of the configuration r9, with 400 more routes");
    sleepFor(2);
    Known = Routes + 1;
  }
  int Killed = 0;
  double Peak = 0;
  double Shown = 0;
  for (double Until = now() + 70; now() < Until; sleepFor(0.02)) {
    Node &Watched = *Site.Nodes_[0];
    double Mb = residentMb(Watched.pid());
    Peak = std::max(Peak, Mb);
    if (now() > Shown + 5) {
      Shown = now();
      Log.line("node 0 takes " + text(Mb) + " MB");
    }
    if (Mb <= MemoryMb)
      continue;
    Log.line("node 0 has " + text(Mb) + " MB, more than " + text(MemoryMb));
    Watched.signal(SIGKILL);
    while (Watched.runs())
      sleepFor(0.005);
    ++Killed;
    sleepFor(0.2);
    if (!Watched.start())
      return 2;
  }
  End = true;
  for (std::thread &Each : Clients)
    Each.join();
  std::set<std::string> Passed;
  for (const Run &Each : Site.Runs_.runs())
    Passed.insert(Each.Id_);
  int Total = 0;
  for (const std::string &Id : Unanswered)
    Total += Passed.contains(Id) ? 1 : 0;
  for (const auto &[Status, Count] : Statuses)
    Log.line("packets answered with status " + std::to_string(Status) + ": " +
             std::to_string(Count));
  Log.line("node 0: ended for its memory " + std::to_string(Killed) +
           " times, peak " + text(Peak) + " MB");
  Log.line("lookups on kept connections that a worker ran and whose connection "
           "ended without an answer: " +
           std::to_string(Total) + "; served " + std::to_string(Served));
  Site.finish();
  if (Served == 0)
    return 2;
  return Total > 3 ? 1 : 0;
}

} // namespace

const std::vector<Case> &cases() {
  static const std::vector<Case> All = {
      {"stale-probe", &staleProbe},        {"born-earlier", &bornEarlier},
      {"poison-and-roll", &poisonAndRoll}, {"dropped-route", &droppedRoute},
      {"renamed-caller", &renamedCaller},  {"endless-pages", &endlessPages},
      {"overtaken", &overtaken},           {"poison-many", &poisonMany},
      {"left-replies", &leftReplies},      {"kept-answers", &keptAnswers},
  };
  return All;
}

} // namespace rig
