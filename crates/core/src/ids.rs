//! Identifiers that pass between modules.

string_ids! {
    /// An instance: an entry instance or an upstream.
    InstanceId;
    /// A customer: the tenant that owns a token, context and a share of capacity.
    CustomerId;
    /// A service that requests are routed to.
    ServiceName;
    /// An availability zone.
    ZoneName;
    /// An operator's change, chosen by the client so that a resent change is recognised.
    ChangeId;
    /// One try of one request at one upstream.
    AttemptId;
}

number_ids! {
    /// A version of a service's model weights.
    WeightVersion;
    /// The number an order to an upstream carries; a higher one supersedes a lower one.
    FencingNumber;
    /// The log index of the last change of the configuration.
    ConfigVersion;
}
