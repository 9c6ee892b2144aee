#ifndef CURRANTSPAR_NODE_METRIC_FAMILIES_HPP
#define CURRANTSPAR_NODE_METRIC_FAMILIES_HPP

#include <map>
#include <memory>
#include <string>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace currantspar::node {

/// A family of counters or gauges with two labels at most, and a quick way to each of its members.
template <typename Metric>
class labelled
{
public:
    labelled(prometheus::Family<Metric>& family, std::string first, std::string second = "")
        : family_(family), first_(std::move(first)), second_(std::move(second))
    {}

    Metric& at(const std::string& one, const std::string& two = "")
    {
        const auto found = members_.find({one, two});
        if (found != members_.end()) {
            return *found->second;
        }
        prometheus::Labels labels;
        if (!first_.empty()) {
            labels.emplace(first_, one);
        }
        if (!second_.empty()) {
            labels.emplace(second_, two);
        }
        Metric& added = family_.Add(labels);
        members_.emplace(std::make_pair(one, two), &added);
        return added;
    }

    /// Drops every member; used for labels that come and go with the configuration.
    void clear()
    {
        for (const auto& [labels, member] : members_) {
            family_.Remove(member);
        }
        members_.clear();
    }

private:
    prometheus::Family<Metric>& family_;
    std::string first_;
    std::string second_;
    std::map<std::pair<std::string, std::string>, Metric*> members_;
};

using labelled_counter = labelled<prometheus::Counter>;
using labelled_gauge = labelled<prometheus::Gauge>;

/// Raises a counter to a total that is kept elsewhere.
inline void raise_to(prometheus::Counter& counter, double total)
{
    if (total > counter.Value()) {
        counter.Increment(total - counter.Value());
    }
}

/// Histograms of one label with the same buckets.
class labelled_histogram
{
public:
    labelled_histogram(prometheus::Family<prometheus::Histogram>& family, std::string label,
                       prometheus::Histogram::BucketBoundaries buckets)
        : family_(family), label_(std::move(label)), buckets_(std::move(buckets))
    {}

    prometheus::Histogram& at(const std::string& value)
    {
        const auto found = members_.find(value);
        if (found != members_.end()) {
            return *found->second;
        }
        prometheus::Histogram& added = family_.Add({{label_, value}}, buckets_);
        members_.emplace(value, &added);
        return added;
    }

private:
    prometheus::Family<prometheus::Histogram>& family_;
    std::string label_;
    prometheus::Histogram::BucketBoundaries buckets_;
    std::map<std::string, prometheus::Histogram*> members_;
};

inline labelled_counter counters(prometheus::Registry& registry, const std::string& name,
                                 const std::string& help, std::string first = "", std::string second = "")
{
    return {prometheus::BuildCounter().Name(name).Help(help).Register(registry), std::move(first),
            std::move(second)};
}

inline labelled_gauge gauges(prometheus::Registry& registry, const std::string& name, const std::string& help,
                             std::string first = "", std::string second = "")
{
    return {prometheus::BuildGauge().Name(name).Help(help).Register(registry), std::move(first),
            std::move(second)};
}

inline labelled_histogram histograms(prometheus::Registry& registry, const std::string& name,
                                     const std::string& help, std::string label,
                                     prometheus::Histogram::BucketBoundaries buckets)
{
    return {prometheus::BuildHistogram().Name(name).Help(help).Register(registry), std::move(label),
            std::move(buckets)};
}

} // namespace currantspar::node

#endif
