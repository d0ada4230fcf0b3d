#include "node/log.h"

#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace bronzestand::node {
namespace {

/// Writes one JSON object per line. A spdlog pattern cannot do this, because it does not escape
/// text.
class JsonFormatter final : public spdlog::formatter {
public:
  void format(const spdlog::details::log_msg &Message, spdlog::memory_buf_t &Out) override {
    const auto Micros =
        std::chrono::duration_cast<std::chrono::microseconds>(Message.time.time_since_epoch());
    const nlohmann::json Line{
        {"time_us", Micros.count()},
        {"level", std::string_view(spdlog::level::to_string_view(Message.level).data())},
        {"part", std::string_view(Message.logger_name.data(), Message.logger_name.size())},
        {"message", std::string_view(Message.payload.data(), Message.payload.size())}};
    const std::string Text =
        Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    Out.append(Text.data(), Text.data() + Text.size());
  }
  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<JsonFormatter>();
  }
};

LogSettings &activeSettings() {
  static LogSettings Settings;
  return Settings;
}

spdlog::sink_ptr sharedSink() {
  static const auto Sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  return Sink;
}

} // namespace

void configureLogging(const LogSettings &Settings) { activeSettings() = Settings; }

Logger makeLogger(const std::string &Part) {
  auto Result = std::make_shared<spdlog::logger>(Part, sharedSink());
  const LogSettings &Settings = activeSettings();
  if (Settings.Json_)
    Result->set_formatter(std::make_unique<JsonFormatter>());
  else
    Result->set_pattern("%Y-%m-%dT%H:%M:%S.%f %l %n: %v");
  const auto Found = Settings.PartLevels_.find(Part);
  const std::string &Level = Found == Settings.PartLevels_.end() ? Settings.Level_ : Found->second;
  Result->set_level(spdlog::level::from_str(Level));
  Result->flush_on(spdlog::level::info);
  return Result;
}

} // namespace bronzestand::node
