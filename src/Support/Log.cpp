#include "Support/Log.h"

#include "Support/Addresses.h"

#include <easylogging++.h>

#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace marigold {
namespace {

/// Fields that every line carries, with the lock that guards them.
struct LogContext {
  std::mutex Mutex_;
  std::string Program_ = "marigold";
  std::string Host_ = "-";
  std::string FailureDomain_ = "-";
  std::string Version_ = "0.0";
  LogLevel Lowest_ = LogLevel::Info;
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

/// Quotes a value that holds a space, a quote or a control character, so
/// that a value from outside cannot forge a field or a line.
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

} // namespace

void configureLogging(std::string_view Level, std::string_view Program) {
  el::Configurations Configuration;
  Configuration.setToDefault();
  Configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  Configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  Configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(Configuration);
  LogContext &Context = context();
  std::lock_guard Lock(Context.Mutex_);
  Context.Lowest_ = levelFromText(Level);
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
    if (Level < Context.Lowest_)
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
