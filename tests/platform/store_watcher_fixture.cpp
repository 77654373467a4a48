#include "store_watcher_fixture.h"

#include <boost/asio/post.hpp>
#include <future>
#include <nlohmann/json.hpp>

namespace knapweed::test {

const std::string sample_config = R"({"version":"0000001f","routes":{
    "r-1":{"host":"a.example","prefix":"/x/","kind":"safe","timeoutMs":800,"targetLatencyMs":300,"priority":1,
           "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"sticky":true,
           "allowedRegions":["east"]},
    "r-2":{"host":"a.example","prefix":"/y/","kind":"unsafe","timeoutMs":1000,"service":"s1"},
    "r-3":{"host":"a.example","prefix":"/z/","kind":"download","timeoutMs":1000,"service":"s1","maxAttempts":3},
    "r-4":{"host":"a.example","prefix":"/w/","kind":"never heard of","timeoutMs":1000,"service":"s1"}},
  "services":{"s1":{"healthPath":"/health","maxConns":360,"coldStartS":3.0,"coldPerS":9.7},"s2":{}},
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string config_with_version(const std::string& version)
{
    auto document = nlohmann::json::parse(sample_config);
    document["version"] = version;
    return document.dump();
}

std::string sample_entry(const std::string& state, const std::string& more)
{
    return R"({"address":"127.0.0.1:9","info":{"service":"s1","version":"v1","zone":"kl-a","slots":3},"status":{"state":")" +
           state + R"(","sequence":4,"coldLeftMs":1500.5})" + more + "}";
}

store_watcher_fixture::store_watcher_fixture(const std::string& config, std::size_t store_bytes_per_second,
                                             const std::function<void(store_fake&)>& prepare)
{
    store.set_rate(store_bytes_per_second);
    store.put("op", "config", config);
    for (const auto* id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"})
        store.put("servers", id, sample_entry());
    store.put("servers", "i-broken", "{}");
    if (prepare)
        prepare(store);
    gateway::gateway_settings settings;
    settings.instance = core::instance_id{"watcher"};
    settings.data_centre = core::data_centre_id{"kl-a"};
    settings.region = core::region_id{"east"};
    settings.store_address = store.address();
    settings.grace_period = core::milliseconds(1000);
    settings.log_lines_per_second = 1;
    settings.data_centres = {{settings.data_centre, settings.region}};
    instance = std::make_unique<gateway::gateway>(settings, "/nonexistent", platform::make_dialect());
    watcher = std::make_unique<platform::store_watcher>(*instance);
    watcher->start();
    thread = std::thread([this] { instance->run(); });
}

store_watcher_fixture::~store_watcher_fixture()
{
    boost::asio::post(instance->executor(), [this] { instance->leave(); });
    thread.join();
}

bool store_watcher_fixture::wait_for(const std::function<bool(steering::steerer&)>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < limit) {
        std::promise<bool> holds;
        boost::asio::post(instance->executor(), [&] { holds.set_value(condition(instance->steerer())); });
        if (holds.get_future().get())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return false;
}

bool store_watcher_fixture::wait_for_usable(std::size_t servers)
{
    return wait_for([servers](steering::steerer& steerer) {
        return steerer.servers().usable(core::service_id{"s1"}).size() == servers;
    });
}

} // namespace knapweed::test
