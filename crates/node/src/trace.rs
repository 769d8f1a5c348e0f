//! Distributed tracing: propagates the W3C trace context and writes this node's spans to a file as JSON
//! lines.

use std::{
    fs::{File, OpenOptions},
    io::{BufWriter, Write},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use opentelemetry::{
    Context, KeyValue,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::{Status, TraceContextExt, Tracer, TracerProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    propagation::TraceContextPropagator,
    trace::{SdkTracer, SdkTracerProvider, Span, SpanData, SpanProcessor},
};
use prometheus_client::metrics::counter::Counter;
use serde_json::{Map, Value, json};
use tokio::time::Instant;

/// Maximum number of spans queued for the writer; further ones are dropped and counted.
const MAX_QUEUED_SPANS: usize = 4_096;
/// Longest time that a planned stop waits for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Starts spans; without a trace file, the trace context is propagated and nothing is recorded.
#[derive(Clone, Debug, Default)]
pub struct Tracing {
    tracer: Option<Arc<SdkTracer>>,
    /// Spans in the writer's queue that are not in the file yet.
    pending: Arc<AtomicUsize>,
}

impl Tracing {
    /// Starts a thread that appends spans to `path`; `dropped` counts those that its queue has no room for.
    ///
    /// # Errors
    /// Fails if the file cannot be opened or the thread cannot be started.
    pub fn to_file(path: &Path, dropped: Counter) -> eyre::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (sender, receiver) = sync_channel(MAX_QUEUED_SPANS);
        let pending = Arc::<AtomicUsize>::default();
        let written = Arc::clone(&pending);
        let writer = move || write_spans(&receiver, file, &written);
        thread::Builder::new().name("traces".to_owned()).spawn(writer)?;
        let processor = QueueProcessor { sender, dropped, pending: Arc::clone(&pending) };
        let provider = SdkTracerProvider::builder().with_span_processor(processor).build();
        Ok(Self { tracer: Some(Arc::new(provider.tracer("daisysill"))), pending })
    }

    /// Waits until all finished spans are in the file, for [`FLUSH_TIMEOUT`] at most.
    pub async fn flush(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        while self.pending.load(Ordering::Acquire) > 0 && Instant::now() < end {
            tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
        }
    }

    /// Starts a span that continues the trace of a request's `traceparent` header; without one, a new trace.
    pub fn span_from(&self, name: &'static str, traceparent: &str) -> TraceSpan {
        let parent =
            TraceContextPropagator::new().extract_with_context(&Context::new(), &IncomingHeader(traceparent));
        self.span(name, &parent, traceparent)
    }

    fn span(&self, name: &'static str, parent: &Context, traceparent: &str) -> TraceSpan {
        let Some(tracer) = &self.tracer else {
            return TraceSpan {
                tracing: self.clone(),
                context: parent.clone(),
                traceparent: traceparent.to_owned(),
            };
        };
        let context = parent.with_span(tracer.start_with_context(name, parent));
        let mut header = OutgoingHeader(String::new());
        TraceContextPropagator::new().inject_context(&context, &mut header);
        TraceSpan { tracing: self.clone(), context, traceparent: header.0 }
    }
}

/// A span; it ends when dropped.
#[derive(Clone, Debug)]
pub struct TraceSpan {
    tracing: Tracing,
    context: Context,
    traceparent: String,
}

impl TraceSpan {
    /// Starts a child span.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        self.tracing.span(name, &self.context, &self.traceparent)
    }

    /// Returns the `traceparent` header for requests to the next hop; empty without a trace.
    pub fn traceparent(&self) -> &str {
        &self.traceparent
    }

    /// Sets an attribute of the span; no effect without a trace file.
    pub fn set(&self, key: &'static str, value: impl Into<String>) {
        if self.tracing.tracer.is_some() {
            self.context.span().set_attribute(KeyValue::new(key, value.into()));
        }
    }
}

/// The `traceparent` header of an incoming request.
struct IncomingHeader<'a>(&'a str);

impl Extractor for IncomingHeader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        (key == "traceparent" && !self.0.is_empty()).then_some(self.0)
    }

    fn keys(&self) -> Vec<&str> {
        vec!["traceparent"]
    }
}

/// The `traceparent` header of an outgoing request.
struct OutgoingHeader(String);

impl Injector for OutgoingHeader {
    fn set(&mut self, key: &str, value: String) {
        if key == "traceparent" {
            self.0 = value;
        }
    }
}

/// Queues finished spans for the writer without blocking.
#[derive(Debug)]
struct QueueProcessor {
    sender: SyncSender<SpanData>,
    dropped: Counter,
    pending: Arc<AtomicUsize>,
}

impl SpanProcessor for QueueProcessor {
    fn on_start(&self, _: &mut Span, _: &Context) {}

    fn on_end(&self, span: SpanData) {
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(span).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            self.dropped.inc();
        }
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _: Duration) -> OTelSdkResult {
        Ok(())
    }
}

fn write_spans(receiver: &Receiver<SpanData>, file: File, pending: &AtomicUsize) {
    let mut out = BufWriter::new(file);
    while let Ok(span) = receiver.recv() {
        let mut count = 1;
        let mut written = write_span(&mut out, &span);
        // Flushes only once the queue is empty, so that a burst needs few writes.
        while let (Ok(()), Ok(span)) = (&written, receiver.try_recv()) {
            count += 1;
            written = write_span(&mut out, &span);
        }
        if let Err(error) = written.and_then(|()| out.flush()) {
            log::error!("cannot write the trace file; spans are no longer recorded: {error}");
            return;
        }
        pending.fetch_sub(count, Ordering::AcqRel);
    }
}

fn write_span(out: &mut impl Write, span: &SpanData) -> std::io::Result<()> {
    let attributes: Map<String, Value> =
        span.attributes.iter().map(|a| (a.key.to_string(), Value::from(a.value.to_string()))).collect();
    let line = json!({
        "trace_id": span.span_context.trace_id().to_string(),
        "span_id": span.span_context.span_id().to_string(),
        "parent_span_id": span.parent_span_id.to_string(),
        "name": span.name,
        "start_unix_us": unix_us(span.start_time),
        "end_unix_us": unix_us(span.end_time),
        "error": matches!(span.status, Status::Error { .. }),
        "attributes": attributes,
    });
    writeln!(out, "{line}")
}

fn unix_us(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
