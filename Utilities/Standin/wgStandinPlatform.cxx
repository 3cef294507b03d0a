// SPDX-License-Identifier: Apache-2.0
#include "wgStandinPlatform.h"

#include "wgHttpListen.h"

namespace wg {

StandinPlatform::StandinPlatform(int port)
  : port_(port)
{
}

StandinPlatform::~StandinPlatform()
{
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool StandinPlatform::Start()
{
  server_.Get("/v1/boxes",
              [this](const httplib::Request&, httplib::Response& response) {
                absl::MutexLock lock(&mutex_);
                response.set_content(list_, "application/json");
              });
  server_.Post("/v1/boxes", [this](const httplib::Request& request,
                                   httplib::Response& response) {
    absl::MutexLock lock(&mutex_);
    list_ = request.body;
    response.set_content("{}", "application/json");
  });
  if (!BindForBursts(server_, "127.0.0.1", port_)) {
    return false;
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return true;
}

} // namespace wg
