// SPDX-License-Identifier: Apache-2.0
#include "wgLog.h"

#include <memory>
#include <string>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "wgJson.h"

namespace wg {
namespace {

LogFormat ActiveFormat = LogFormat::Text;

log4cplus::Logger MainLogger()
{
  return log4cplus::Logger::getInstance("weirgate");
}

} // namespace

void StartLog(LogFormat format)
{
  static log4cplus::Initializer initializer;
  ActiveFormat = format;
  log4cplus::helpers::SharedObjectPtr<log4cplus::Appender> appender(
    new log4cplus::ConsoleAppender(true, true));
  const char* pattern =
    format == LogFormat::Json ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %m%n";
  appender->setLayout(
    std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT(pattern)));
  MainLogger().removeAllAppenders();
  MainLogger().addAppender(appender);
}

void LogChange(absl::string_view subject, absl::string_view event)
{
  if (ActiveFormat == LogFormat::Text) {
    LOG4CPLUS_INFO(MainLogger(), absl::StrCat(subject, ": ", event));
    return;
  }
  nlohmann::json line{ { "subject", std::string(subject) },
                       { "event", std::string(event) } };
  LOG4CPLUS_INFO(MainLogger(), PrintJson(line));
}

} // namespace wg
