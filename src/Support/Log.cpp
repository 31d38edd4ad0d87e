#include "Support/Log.h"

#include "Support/Addresses.h"

#include <easylogging++.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace marigold {
namespace {

/// Fields common to all lines and the lowest level that is logged, guarded by
/// Mutex_.
struct LogContext {
  std::mutex Mutex_;
  std::string Program_ = "marigold";
  std::string Host_ = "-";
  std::string FailureDomain_ = "-";
  std::string Version_ = "0.0";
  LogLevel MinimumLevel_ = LogLevel::Info;
};

LogContext &context() {
  static LogContext Context;
  return Context;
}

LogLevel levelFromText(std::string_view Text) {
  if (Text == "debug")
    return LogLevel::Debug;
  if (Text == "warning")
    return LogLevel::Warning;
  if (Text == "error")
    return LogLevel::Error;
  return LogLevel::Info;
}

/// Quotes a value that is empty or contains a space, a quote or a control
/// character. This prevents untrusted values from forging a field or a line.
std::string quoteValue(const std::string &Value) {
  bool Plain = !Value.empty();
  for (char Character : Value)
    if (static_cast<unsigned char>(Character) <= ' ' || Character == '"' ||
        Character == 127)
      Plain = false;
  if (Plain)
    return Value;
  std::string Quoted = "\"";
  for (char Character : Value) {
    if (Character == '"' || Character == '\\')
      Quoted += '\\';
    bool Control =
        static_cast<unsigned char>(Character) < ' ' || Character == 127;
    Quoted += Control ? '?' : Character;
  }
  return Quoted + '"';
}

void writeLine(LogLevel Level, const std::string &Line) {
  switch (Level) {
  case LogLevel::Debug:
    LOG(DEBUG) << Line;
    break;
  case LogLevel::Info:
    LOG(INFO) << Line;
    break;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    break;
  case LogLevel::Error:
    LOG(ERROR) << Line;
    break;
  }
}

/// Size limit of the buffered lines in bytes. Lines beyond it are dropped.
constexpr std::size_t MaxBufferedBytes = std::size_t{256} * 1024;
/// Maximum size of one write in bytes. A pipe that polls as writable accepts
/// this many (PIPE_BUF) without blocking.
constexpr std::size_t MaxWriteBytes = 4096;

/// Buffers lines between easylogging++ and standard output.
class LogBuffer {
public:
  void append(const std::string &Line) {
    {
      std::lock_guard Lock(Mutex_);
      add(Line);
    }
    if (!Buffered_)
      flush();
  }

  void buffer() { Buffered_ = true; }

  void add(const std::string &Line) {
    if (Buffer_.size() + Line.size() > MaxBufferedBytes) {
      ++Dropped_;
      return;
    }
    Buffer_ += Line;
  }

  void flush() {
    std::lock_guard Lock(Mutex_);
    std::size_t Done = 0;
    while (Done < Buffer_.size()) {
      pollfd Output{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&Output, 1, 0) != 1 || (Output.revents & POLLOUT) == 0)
        break;
      std::size_t Size = std::min(Buffer_.size() - Done, MaxWriteBytes);
      ssize_t Written = ::write(STDOUT_FILENO, Buffer_.data() + Done, Size);
      if (Written <= 0)
        break;
      Done += static_cast<std::size_t>(Written);
    }
    Buffer_.erase(0, Done);
  }

  std::uint64_t dropped() const { return Dropped_; }

private:
  std::mutex Mutex_;
  std::string Buffer_;
  std::atomic<std::uint64_t> Dropped_ = 0;
  std::atomic<bool> Buffered_ = false;
};

LogBuffer &sink() {
  static LogBuffer Sink;
  return Sink;
}

/// Receives the formatted lines of easylogging++.
class SinkDispatch : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) override {
    sink().append(Data->logMessage()->logger()->logBuilder()->build(
        Data->logMessage(), true));
  }
};

} // namespace

void bufferLog() { sink().buffer(); }

void flushLog() { sink().flush(); }

std::uint64_t droppedLogLines() { return sink().dropped(); }

void configureLogging(std::string_view Level, std::string_view Program) {
  el::Configurations Configuration;
  Configuration.setToDefault();
  Configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  Configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  Configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(Configuration);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<SinkDispatch>("SinkDispatch");
  std::atexit(flushLog);
  LogContext &Context = context();
  std::lock_guard Lock(Context.Mutex_);
  Context.MinimumLevel_ = levelFromText(Level);
  Context.Program_ = Program;
}

void setLogHost(std::string_view Host, std::string_view FailureDomain) {
  LogContext &Context = context();
  std::lock_guard Lock(Context.Mutex_);
  Context.Host_ = Host;
  Context.FailureDomain_ = FailureDomain;
}

void setLogVersion(const ConfigVersion &Version) {
  LogContext &Context = context();
  std::lock_guard Lock(Context.Mutex_);
  Context.Version_ = toText(Version);
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  std::string Line;
  {
    LogContext &Context = context();
    std::lock_guard Lock(Context.Mutex_);
    if (Level < Context.MinimumLevel_)
      return;
    Line = "event=" + std::string(Event) + " program=" + Context.Program_ +
           " version=" + Context.Version_ +
           " host=" + quoteValue(Context.Host_) +
           " failure_domain=" + quoteValue(Context.FailureDomain_);
  }
  for (const auto &[Key, Value] : Fields)
    Line += " " + std::string(Key) + "=" + quoteValue(Value);
  writeLine(Level, Line);
}

} // namespace marigold
