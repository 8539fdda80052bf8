package org.teaselhook.wire;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class EntryServiceGrpc {

  private EntryServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "teaselhook.v1.EntryService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.teaselhook.wire.AgentFrame,
      org.teaselhook.wire.EntryFrame> getSessionMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Session",
      requestType = org.teaselhook.wire.AgentFrame.class,
      responseType = org.teaselhook.wire.EntryFrame.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.teaselhook.wire.AgentFrame,
      org.teaselhook.wire.EntryFrame> getSessionMethod() {
    io.grpc.MethodDescriptor<org.teaselhook.wire.AgentFrame, org.teaselhook.wire.EntryFrame> getSessionMethod;
    if ((getSessionMethod = EntryServiceGrpc.getSessionMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getSessionMethod = EntryServiceGrpc.getSessionMethod) == null) {
          EntryServiceGrpc.getSessionMethod = getSessionMethod =
              io.grpc.MethodDescriptor.<org.teaselhook.wire.AgentFrame, org.teaselhook.wire.EntryFrame>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Session"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.teaselhook.wire.AgentFrame.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.teaselhook.wire.EntryFrame.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("Session"))
              .build();
        }
      }
    }
    return getSessionMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.teaselhook.wire.PeerFrame,
      org.teaselhook.wire.PeerFrame> getPeerMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Peer",
      requestType = org.teaselhook.wire.PeerFrame.class,
      responseType = org.teaselhook.wire.PeerFrame.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.teaselhook.wire.PeerFrame,
      org.teaselhook.wire.PeerFrame> getPeerMethod() {
    io.grpc.MethodDescriptor<org.teaselhook.wire.PeerFrame, org.teaselhook.wire.PeerFrame> getPeerMethod;
    if ((getPeerMethod = EntryServiceGrpc.getPeerMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getPeerMethod = EntryServiceGrpc.getPeerMethod) == null) {
          EntryServiceGrpc.getPeerMethod = getPeerMethod =
              io.grpc.MethodDescriptor.<org.teaselhook.wire.PeerFrame, org.teaselhook.wire.PeerFrame>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Peer"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.teaselhook.wire.PeerFrame.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.teaselhook.wire.PeerFrame.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("Peer"))
              .build();
        }
      }
    }
    return getPeerMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.teaselhook.wire.ForwardRequest,
      org.teaselhook.wire.ForwardReply> getForwardMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Forward",
      requestType = org.teaselhook.wire.ForwardRequest.class,
      responseType = org.teaselhook.wire.ForwardReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.teaselhook.wire.ForwardRequest,
      org.teaselhook.wire.ForwardReply> getForwardMethod() {
    io.grpc.MethodDescriptor<org.teaselhook.wire.ForwardRequest, org.teaselhook.wire.ForwardReply> getForwardMethod;
    if ((getForwardMethod = EntryServiceGrpc.getForwardMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getForwardMethod = EntryServiceGrpc.getForwardMethod) == null) {
          EntryServiceGrpc.getForwardMethod = getForwardMethod =
              io.grpc.MethodDescriptor.<org.teaselhook.wire.ForwardRequest, org.teaselhook.wire.ForwardReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Forward"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.teaselhook.wire.ForwardRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.teaselhook.wire.ForwardReply.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("Forward"))
              .build();
        }
      }
    }
    return getForwardMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.teaselhook.wire.AgentsRequest,
      org.teaselhook.wire.AgentsReply> getAgentsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Agents",
      requestType = org.teaselhook.wire.AgentsRequest.class,
      responseType = org.teaselhook.wire.AgentsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.teaselhook.wire.AgentsRequest,
      org.teaselhook.wire.AgentsReply> getAgentsMethod() {
    io.grpc.MethodDescriptor<org.teaselhook.wire.AgentsRequest, org.teaselhook.wire.AgentsReply> getAgentsMethod;
    if ((getAgentsMethod = EntryServiceGrpc.getAgentsMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getAgentsMethod = EntryServiceGrpc.getAgentsMethod) == null) {
          EntryServiceGrpc.getAgentsMethod = getAgentsMethod =
              io.grpc.MethodDescriptor.<org.teaselhook.wire.AgentsRequest, org.teaselhook.wire.AgentsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Agents"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.teaselhook.wire.AgentsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.teaselhook.wire.AgentsReply.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("Agents"))
              .build();
        }
      }
    }
    return getAgentsMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static EntryServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceStub>() {
        @java.lang.Override
        public EntryServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceStub(channel, callOptions);
        }
      };
    return EntryServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static EntryServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingV2Stub>() {
        @java.lang.Override
        public EntryServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return EntryServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static EntryServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingStub>() {
        @java.lang.Override
        public EntryServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceBlockingStub(channel, callOptions);
        }
      };
    return EntryServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static EntryServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceFutureStub>() {
        @java.lang.Override
        public EntryServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceFutureStub(channel, callOptions);
        }
      };
    return EntryServiceFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     * <pre>
     * One stream per agent and entry; the agent dials. A new stream of the same agent replaces the old one.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<org.teaselhook.wire.AgentFrame> session(
        io.grpc.stub.StreamObserver<org.teaselhook.wire.EntryFrame> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getSessionMethod(), responseObserver);
    }

    /**
     * <pre>
     * One stream per ordered pair of entries: heartbeats and configuration.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<org.teaselhook.wire.PeerFrame> peer(
        io.grpc.stub.StreamObserver<org.teaselhook.wire.PeerFrame> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getPeerMethod(), responseObserver);
    }

    /**
     * <pre>
     * A submission passed to the entry that holds its claim or ticket.
     * </pre>
     */
    default void forward(org.teaselhook.wire.ForwardRequest request,
        io.grpc.stub.StreamObserver<org.teaselhook.wire.ForwardReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getForwardMethod(), responseObserver);
    }

    /**
     * <pre>
     * The agents connected to an entry, for operators who ask another one.
     * </pre>
     */
    default void agents(org.teaselhook.wire.AgentsRequest request,
        io.grpc.stub.StreamObserver<org.teaselhook.wire.AgentsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAgentsMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service EntryService.
   */
  public static abstract class EntryServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return EntryServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service EntryService.
   */
  public static final class EntryServiceStub
      extends io.grpc.stub.AbstractAsyncStub<EntryServiceStub> {
    private EntryServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * One stream per agent and entry; the agent dials. A new stream of the same agent replaces the old one.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<org.teaselhook.wire.AgentFrame> session(
        io.grpc.stub.StreamObserver<org.teaselhook.wire.EntryFrame> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getSessionMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * One stream per ordered pair of entries: heartbeats and configuration.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<org.teaselhook.wire.PeerFrame> peer(
        io.grpc.stub.StreamObserver<org.teaselhook.wire.PeerFrame> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getPeerMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * A submission passed to the entry that holds its claim or ticket.
     * </pre>
     */
    public void forward(org.teaselhook.wire.ForwardRequest request,
        io.grpc.stub.StreamObserver<org.teaselhook.wire.ForwardReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getForwardMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * The agents connected to an entry, for operators who ask another one.
     * </pre>
     */
    public void agents(org.teaselhook.wire.AgentsRequest request,
        io.grpc.stub.StreamObserver<org.teaselhook.wire.AgentsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAgentsMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service EntryService.
   */
  public static final class EntryServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<EntryServiceBlockingV2Stub> {
    private EntryServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * One stream per agent and entry; the agent dials. A new stream of the same agent replaces the old one.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.teaselhook.wire.AgentFrame, org.teaselhook.wire.EntryFrame>
        session() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getSessionMethod(), getCallOptions());
    }

    /**
     * <pre>
     * One stream per ordered pair of entries: heartbeats and configuration.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.teaselhook.wire.PeerFrame, org.teaselhook.wire.PeerFrame>
        peer() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getPeerMethod(), getCallOptions());
    }

    /**
     * <pre>
     * A submission passed to the entry that holds its claim or ticket.
     * </pre>
     */
    public org.teaselhook.wire.ForwardReply forward(org.teaselhook.wire.ForwardRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The agents connected to an entry, for operators who ask another one.
     * </pre>
     */
    public org.teaselhook.wire.AgentsReply agents(org.teaselhook.wire.AgentsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getAgentsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service EntryService.
   */
  public static final class EntryServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<EntryServiceBlockingStub> {
    private EntryServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * A submission passed to the entry that holds its claim or ticket.
     * </pre>
     */
    public org.teaselhook.wire.ForwardReply forward(org.teaselhook.wire.ForwardRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The agents connected to an entry, for operators who ask another one.
     * </pre>
     */
    public org.teaselhook.wire.AgentsReply agents(org.teaselhook.wire.AgentsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAgentsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service EntryService.
   */
  public static final class EntryServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<EntryServiceFutureStub> {
    private EntryServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * A submission passed to the entry that holds its claim or ticket.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.teaselhook.wire.ForwardReply> forward(
        org.teaselhook.wire.ForwardRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getForwardMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * The agents connected to an entry, for operators who ask another one.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.teaselhook.wire.AgentsReply> agents(
        org.teaselhook.wire.AgentsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAgentsMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_FORWARD = 0;
  private static final int METHODID_AGENTS = 1;
  private static final int METHODID_SESSION = 2;
  private static final int METHODID_PEER = 3;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_FORWARD:
          serviceImpl.forward((org.teaselhook.wire.ForwardRequest) request,
              (io.grpc.stub.StreamObserver<org.teaselhook.wire.ForwardReply>) responseObserver);
          break;
        case METHODID_AGENTS:
          serviceImpl.agents((org.teaselhook.wire.AgentsRequest) request,
              (io.grpc.stub.StreamObserver<org.teaselhook.wire.AgentsReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_SESSION:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.session(
              (io.grpc.stub.StreamObserver<org.teaselhook.wire.EntryFrame>) responseObserver);
        case METHODID_PEER:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.peer(
              (io.grpc.stub.StreamObserver<org.teaselhook.wire.PeerFrame>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getSessionMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.teaselhook.wire.AgentFrame,
              org.teaselhook.wire.EntryFrame>(
                service, METHODID_SESSION)))
        .addMethod(
          getPeerMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.teaselhook.wire.PeerFrame,
              org.teaselhook.wire.PeerFrame>(
                service, METHODID_PEER)))
        .addMethod(
          getForwardMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.teaselhook.wire.ForwardRequest,
              org.teaselhook.wire.ForwardReply>(
                service, METHODID_FORWARD)))
        .addMethod(
          getAgentsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.teaselhook.wire.AgentsRequest,
              org.teaselhook.wire.AgentsReply>(
                service, METHODID_AGENTS)))
        .build();
  }

  private static abstract class EntryServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    EntryServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.teaselhook.wire.Teaselhook.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("EntryService");
    }
  }

  private static final class EntryServiceFileDescriptorSupplier
      extends EntryServiceBaseDescriptorSupplier {
    EntryServiceFileDescriptorSupplier() {}
  }

  private static final class EntryServiceMethodDescriptorSupplier
      extends EntryServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    EntryServiceMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (EntryServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new EntryServiceFileDescriptorSupplier())
              .addMethod(getSessionMethod())
              .addMethod(getPeerMethod())
              .addMethod(getForwardMethod())
              .addMethod(getAgentsMethod())
              .build();
        }
      }
    }
    return result;
  }
}
