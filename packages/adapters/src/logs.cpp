// Log lines on log4cplus.
#include "tamarack/adapters.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace tamarack::adapters {

namespace {

std::atomic<bool> JsonLines = false;

log4cplus::Initializer &initializer() {
  static log4cplus::Initializer Instance;
  return Instance;
}

log4cplus::LogLevel levelOf(std::string_view Level) {
  if (Level == "debug")
    return log4cplus::DEBUG_LOG_LEVEL;
  if (Level == "info")
    return log4cplus::INFO_LOG_LEVEL;
  if (Level == "warn")
    return log4cplus::WARN_LOG_LEVEL;
  if (Level == "error")
    return log4cplus::ERROR_LOG_LEVEL;
  throw settings_error("--log-level must be debug, info, warn or error");
}

// Keeps a sentence on one line and, for JSON, inside its quotes.
std::string lineOf(std::string_view Sentence) {
  std::string Line;
  for (char Letter : Sentence) {
    const bool Quoted = JsonLines && (Letter == '"' || Letter == '\\');
    if (Quoted)
      Line.push_back('\\');
    const bool Control = static_cast<unsigned char>(Letter) < 0x20;
    Line.push_back(Control ? ' ' : Letter);
  }
  return Line;
}

void write(const std::string &Part, log4cplus::LogLevel Level,
           std::string_view Sentence) {
  log4cplus::Logger Logger = log4cplus::Logger::getInstance(Part);
  if (Logger.isEnabledFor(Level))
    Logger.forcedLog(Level, lineOf(Sentence));
}

} // namespace

void startLogging(std::string_view Level, std::string_view Format,
                  std::string_view Instance) {
  initializer();
  const log4cplus::LogLevel Least = levelOf(Level);
  if (Format != "text" && Format != "json")
    throw settings_error("--log-format must be text or json");
  JsonLines = Format == "json";
  const std::string Who(Instance);
  const std::string Pattern =
      JsonLines ? "{\"time\":\"%d{%Y-%m-%dT%H:%M:%S.%q}Z\",\"level\":\"%p\","
                  "\"instance\":\"" +
                      Who + "\",\"part\":\"%c\",\"text\":\"%m\"}%n"
                : "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p " + Who + " %c: %m%n";
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(Least);
}

component_logger::component_logger(std::string Name) : Name(std::move(Name)) {}

void component_logger::debug(std::string_view Sentence) const {
  write(Name, log4cplus::DEBUG_LOG_LEVEL, Sentence);
}

void component_logger::info(std::string_view Sentence) const {
  write(Name, log4cplus::INFO_LOG_LEVEL, Sentence);
}

void component_logger::warn(std::string_view Sentence) const {
  write(Name, log4cplus::WARN_LOG_LEVEL, Sentence);
}

void component_logger::error(std::string_view Sentence) const {
  write(Name, log4cplus::ERROR_LOG_LEVEL, Sentence);
}

} // namespace tamarack::adapters
