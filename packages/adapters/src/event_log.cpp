// event_log: JSON lines on log4cplus.
#include "tamarack/adapters.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

namespace tamarack::adapters {

namespace {

constexpr char EventLoggerName[] = "events"; // Name of the log4cplus logger.
constexpr time_ms MsPerSecond = 1'000;

} // namespace

void startEventLogging() {
  static log4cplus::Initializer Initializer;
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(false, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  log4cplus::Logger Logger = log4cplus::Logger::getInstance(EventLoggerName);
  Logger.setAdditivity(false);
  Logger.removeAllAppenders();
  Logger.addAppender(Appender);
  Logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

event_log::event_log(std::string Instance, const clock &Clock,
                     int LinesPerSecond)
    : Instance(std::move(Instance)), Clock(Clock),
      LinesPerSecond(LinesPerSecond) {}

void event_log::write(std::string_view Event,
                      std::initializer_list<field> Fields) {
  auto Found = RateWindows.find(Event);
  if (Found == RateWindows.end())
    Found = RateWindows.emplace(std::string(Event), rate_window()).first;
  rate_window &Window = Found->second;
  const time_ms Second = Clock.monotonic() / MsPerSecond;
  const int SkippedBefore = Second == Window.Second ? 0 : Window.SkippedLines;
  if (Second != Window.Second)
    Window = {Second, 0, 0};
  if (Window.WrittenLines >= LinesPerSecond) {
    ++Window.SkippedLines;
    return;
  }
  ++Window.WrittenLines;
  static log4cplus::Logger Logger =
      log4cplus::Logger::getInstance(EventLoggerName);
  Logger.forcedLog(log4cplus::INFO_LOG_LEVEL,
                   format(Clock.now(), Instance, Event, SkippedBefore, Fields));
}

std::string event_log::format(time_ms Time, std::string_view Instance,
                              std::string_view Event, int LeftOutBefore,
                              std::span<const field> Fields) {
  nlohmann::ordered_json Line;
  Line["time"] = Time;
  Line["instance"] = Instance;
  Line["event"] = Event;
  if (LeftOutBefore > 0)
    Line["left_out_before"] = LeftOutBefore;
  for (const field &Field : Fields) {
    const std::string Name(Field.Name);
    if (const auto *Text = std::get_if<std::string_view>(&Field.Value))
      Line[Name] = Text->substr(0, MaxTextBytes);
    else if (const auto *Number = std::get_if<std::int64_t>(&Field.Value))
      Line[Name] = *Number;
    else
      Line[Name] = std::get<double>(Field.Value);
  }
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace tamarack::adapters
