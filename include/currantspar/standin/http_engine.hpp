#ifndef CURRANTSPAR_STANDIN_HTTP_ENGINE_HPP
#define CURRANTSPAR_STANDIN_HTTP_ENGINE_HPP

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "currantspar/standin/engine_model.hpp"
#include "currantspar/standin/http_server.hpp"

namespace currantspar::standin {

/// A model engine over HTTP in real time, see docs/PLATFORM.md. Thread safe.
class http_engine
{
public:
    explicit http_engine(engine_model_options options);
    ~http_engine();
    http_engine(const http_engine&) = delete;
    http_engine& operator=(const http_engine&) = delete;

    [[nodiscard]] const std::string& address() const { return server_.address(); }

    // Faults.
    /// Loses all work; streams break, and nothing is answered until it is up again.
    void crash(duration down_for);
    void pause(duration time);
    /// Streams that are open now carry nothing any more; the work goes on and can be resumed.
    void silence_streams();
    /// The next streams break after that many tokens.
    void truncate_next(unsigned streams, unsigned after_tokens);
    /// The next orders take effect but are not answered.
    void lose_order_answers(unsigned count);
    /// Works on the model under the engine's lock, for other faults and for checks.
    void with_model(const std::function<void(engine_model&, instant)>& action);

private:
    struct open_stream
    {
        std::shared_ptr<stream_body> body;
        bool silent = false;
        unsigned tokens_left = 0; ///< before it is broken; 0: never
    };

    http_response answer(const http_request& request);
    http_response start(const http_request& request);
    http_response resume(const engine_request_id& request, std::uint32_t from);
    http_response order(const http_request& request);
    http_response control(const http_request& request);
    http_response stream_for(const engine_request_id& request);
    void run();
    void give_out(const engine_output& output);

    std::mutex mutex_;
    std::condition_variable changed_;
    engine_model model_;
    std::map<engine_request_id, open_stream> streams_;
    unsigned truncate_streams_ = 0;
    unsigned truncate_after_ = 0;
    unsigned order_answers_to_lose_ = 0;
    bool stopping_ = false;
    http_server server_;
    std::thread pump_;
};

} // namespace currantspar::standin

#endif
