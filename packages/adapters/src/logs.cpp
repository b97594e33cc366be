// component_logger: log lines on log4cplus.
#include "tamarack/adapters.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

namespace tamarack::adapters {

namespace {

std::atomic<bool> UseJson = false; // Set by startLogging().

log4cplus::Initializer &log4cplusInitializer() {
  static log4cplus::Initializer Instance;
  return Instance;
}

log4cplus::LogLevel parseLevel(std::string_view Level) {
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

void writeLine(const std::string &Component, log4cplus::LogLevel Level,
               std::string_view Message) {
  log4cplus::Logger Logger = log4cplus::Logger::getInstance(Component);
  if (Logger.isEnabledFor(Level))
    Logger.forcedLog(Level, escapeLogMessage(Message, UseJson));
}

} // namespace

std::string escapeLogMessage(std::string_view Message, bool ForJson) {
  std::string Line(Message);
  for (char &Character : Line) {
    const unsigned char Byte = static_cast<unsigned char>(Character);
    if (Byte < 0x20 || Byte == 0x7f)
      Character = ' ';
  }
  if (!ForJson)
    return Line;
  const std::string Quoted = nlohmann::json(Line).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Quoted.substr(1, Quoted.size() - 2);
}

void startLogging(std::string_view Level, std::string_view Format,
                  std::string_view Instance) {
  log4cplusInitializer();
  const log4cplus::LogLevel MinLevel = parseLevel(Level);
  if (Format != "text" && Format != "json")
    throw settings_error("--log-format must be text or json");
  UseJson = Format == "json";
  const std::string InstanceName(Instance);
  const std::string Pattern =
      UseJson ? "{\"time\":\"%d{%Y-%m-%dT%H:%M:%S.%q}Z\",\"level\":\"%p\","
                "\"instance\":\"" +
                    InstanceName + "\",\"part\":\"%c\",\"text\":\"%m\"}%n"
              : "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p " + InstanceName + " %c: %m%n";
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(MinLevel);
}

component_logger::component_logger(std::string Name) : Name(std::move(Name)) {}

void component_logger::debug(std::string_view Message) const {
  writeLine(Name, log4cplus::DEBUG_LOG_LEVEL, Message);
}

void component_logger::info(std::string_view Message) const {
  writeLine(Name, log4cplus::INFO_LOG_LEVEL, Message);
}

void component_logger::warn(std::string_view Message) const {
  writeLine(Name, log4cplus::WARN_LOG_LEVEL, Message);
}

void component_logger::error(std::string_view Message) const {
  writeLine(Name, log4cplus::ERROR_LOG_LEVEL, Message);
}

} // namespace tamarack::adapters
