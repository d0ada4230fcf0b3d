#ifndef BRONZESTAND_NODE_LOG_H
#define BRONZESTAND_NODE_LOG_H

#include <map>
#include <memory>
#include <string>

#include <spdlog/spdlog.h>

namespace bronzestand::node {

using Logger = std::shared_ptr<spdlog::logger>;

/// Format and levels of the log, from the settings.
struct LogSettings {
  bool Json_ = false;
  std::string Level_ = "info";
  std::map<std::string, std::string> PartLevels_;
};

/// Sets the format and the levels. Call before the first makeLogger.
void configureLogging(const LogSettings &Settings);

/// Returns the logger of a part. The name of the part is written in each line.
Logger makeLogger(const std::string &Part);

} // namespace bronzestand::node

#endif
